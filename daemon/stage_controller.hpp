#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/log.hpp"
#include "daemon/lease_keeper.hpp"
#include "platform/engine_order_client.hpp"
#include "policy/decaying_peak_rate.hpp"
#include "policy/stage_plan.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Moves engines between the prefill and decode stages as the load requires while this host holds the lease. Used on
/// one event loop.
class stage_controller {
public:
    /// Preconditions: all references outlive the controller.
    /// `is_first_start`: the whole system starts for the first time, so there were no requests before.
    stage_controller(platform::engine_order_client& orders, lease_keeper& lease, servers::serving_state& state,
                     std::string host, bool is_first_start);

    /// Runs for as long as the event loop runs.
    servers::asio::awaitable<void> run();

private:
    void observe_demand();
    servers::asio::awaitable<void> control(std::uint64_t fence, service_name service);
    /// Returns nothing also if the limit of the engine leaves no room for the call.
    servers::asio::awaitable<std::optional<platform::engine_report>> request_report(platform::engine_address engine);
    /// `planned_fill`: share of the slots of generating engines with which the change was planned, for the log.
    servers::asio::awaitable<void> order(std::uint64_t fence, policy::stage_change change, duration change_time,
                                         double planned_fill);
    [[nodiscard]] std::optional<double> get_prefill_demand(const service_name& service) const;
    /// Returns whether the load was observed for long enough to plan with it.
    [[nodiscard]] bool is_load_known() const;
    [[nodiscard]] std::vector<policy::staged_engine> get_engines(const service_name& service) const;

    platform::engine_order_client* m_orders;
    lease_keeper* m_lease;
    servers::serving_state* m_state;
    std::string m_host;
    bool m_is_before_first_request;
    steady_time m_started_at;
    std::shared_ptr<spdlog::logger> m_log;
    /// Peak of the running requests of each service, which decays exponentially.
    std::map<service_name, double> m_running;
    /// Peak of the prefill work of all hosts, as the number of engines that it keeps busy.
    std::map<service_name, policy::decaying_peak_rate> m_prefill_demand;
    /// End of the cooldown of each engine to which an order failed.
    std::map<backend_server_name, steady_time> m_cooldowns;
};

} // namespace dragonflywell::daemon
