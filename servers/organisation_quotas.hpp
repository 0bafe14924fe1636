#pragma once

#include <map>
#include <spdlog/logger.h>
#include <string>

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "fleet/serving_view.hpp"
#include "servers/shared_quotas.hpp"

namespace dragonflywell::servers {

/// What a request has taken from the quota of its organisation.
struct quota_use {
    organisation_name organisation;
    double amount{};
    std::uint64_t session{};
};

/// Applies the quotas of organisations to requests. Used on one event loop.
class organisation_quotas final : public shared_quotas {
public:
    /// Preconditions: clock and registry outlive the object.
    organisation_quotas(asio::any_io_executor executor, const clock_source& time, metrics_registry& metrics,
                        policy::quota_node_options options);

    /// Applies the quotas of a configuration.
    void set_configuration(const fleet::serving_configuration& configuration);

    /// Takes what a request counts from the quota of its organisation; waits for other hosts if this one has too
    /// little. Throws `request_refused`.
    asio::awaitable<quota_use> acquire(organisation_name organisation, double amount, duration time_left);
    /// Gives back what was taken for a request that no backend server ran.
    void give_back(const quota_use& use);

private:
    [[noreturn]] void refuse(const organisation_name& organisation, duration retry_after, counter& cause);
    void log_refusal(const organisation_name& organisation, duration retry_after);

    std::shared_ptr<spdlog::logger> m_log;
    policy::fleet_quotas m_quotas;
    /// When the refusals of an organisation were logged last.
    std::map<organisation_name, steady_time> m_logged_at;
    counter* m_admitted;
    counter* m_waited;
    counter* m_refused_at_once;
    counter* m_refused_after_wait;
    counter* m_not_ready;
    counter* m_given_back;
};

} // namespace dragonflywell::servers
