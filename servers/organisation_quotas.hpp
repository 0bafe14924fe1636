#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <spdlog/logger.h>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "fleet/serving_view.hpp"
#include "policy/quota_node.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// What a request has taken from the quota of its organisation.
struct quota_use {
    organisation_name organisation;
    double amount{};
    std::uint64_t session{};
};

/// Applies the quotas of organisations to requests. The daemon exchanges the messages that `poll` returns with other
/// hosts. Used on one event loop.
class organisation_quotas {
public:
    /// Preconditions: clock and registry outlive the object.
    organisation_quotas(asio::any_io_executor executor, const clock_source& time, metrics_registry& metrics,
                        policy::quota_node_options options);

    /// Applies the quotas of a configuration.
    void set_configuration(const fleet::serving_configuration& configuration);
    /// Sets the hosts in the store's list, this one included.
    void set_hosts(const std::vector<policy::owner_candidate>& hosts);
    [[nodiscard]] bool has_quotas() const noexcept { return m_node.has_limits(); }

    /// Takes what a request counts from the quota of its organisation; waits for other hosts if this one has too
    /// little. Throws `request_refused`.
    asio::awaitable<quota_use> acquire(organisation_name organisation, double amount, duration time_left);
    /// Gives back what was taken for a request that no backend server ran.
    void give_back(const quota_use& use);

    /// Returns the requests to other hosts that are due, and ends the waiting of requests that were decided on.
    [[nodiscard]] std::vector<policy::outgoing_quota_request> poll();
    /// Returns when `poll` is to be called next, by the clock that counts suspension.
    [[nodiscard]] steady_time get_next_poll() const;
    /// Applies the request of another host and returns the answer.
    [[nodiscard]] std::optional<policy::quota_grant> apply(const policy::quota_request& request);
    void apply(const policy::quota_grant& grant);

    /// Called when `poll` has something to do before the time that was returned last; may be empty.
    std::function<void()> on_change;

private:
    struct waiting_request {
        explicit waiting_request(const asio::any_io_executor& executor) : timer(executor) {}

        asio::steady_timer timer;
        std::optional<policy::quota_decision> decision;
    };

    [[noreturn]] void refuse(const organisation_name& organisation, duration retry_after, counter& cause);
    void log_refusal(const organisation_name& organisation, duration retry_after);
    void notify_change() const {
        if (on_change) {
            on_change();
        }
    }

    asio::any_io_executor m_executor;
    const clock_source* m_time;
    std::shared_ptr<spdlog::logger> m_log;
    policy::quota_node m_node;
    policy::fleet_quotas m_quotas;
    std::map<std::uint64_t, std::shared_ptr<waiting_request>> m_waiting;
    /// When the refusals of an organisation were logged last.
    std::map<organisation_name, steady_time> m_logged_at;
    counter* m_admitted;
    counter* m_waited;
    counter* m_refused_at_once;
    counter* m_refused_after_wait;
    counter* m_not_ready;
    counter* m_given_back;
    counter* m_grants;
    counter* m_bookings;
    gauge* m_at_quota;
};

} // namespace dragonflywell::servers
