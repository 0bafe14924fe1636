#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/log.hpp"
#include "daemon/lease_keeper.hpp"
#include "platform/cloud_client.hpp"
#include "policy/decaying_peak_rate.hpp"
#include "policy/fleet_plan.hpp"
#include "policy/recent_maximum.hpp"
#include "policy/stage_plan.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Scales the backend servers of each service through the platform's cloud interface while this host holds the lease.
/// Used on one event loop.
class fleet_controller {
public:
    /// Preconditions: all references outlive the controller.
    fleet_controller(platform::cloud_client& cloud, lease_keeper& lease, servers::serving_state& state,
                     std::string host);

    /// Runs for as long as the event loop runs.
    servers::asio::awaitable<void> run();

private:
    /// A pool of backend servers whose size is ordered separately.
    struct server_pool {
        service_name service;
        zone_name zone;
        bool is_cheap{false};

        friend auto operator<=>(const server_pool&, const server_pool&) = default;
    };
    /// The newest order for a pool under the current fencing number.
    struct placed_order {
        std::uint32_t wanted{};
        bool is_accepted{false};
        steady_time sent_at{};
    };

    void observe_demand();
    /// `max_servers`: how many servers of the service all zones together may have.
    [[nodiscard]] policy::fleet_demand get_demand(const service_name& service, std::size_t max_servers) const;
    servers::asio::awaitable<void> control(std::uint64_t fence);
    /// Orders a pool size, unless the newest order wants the same size and was, or may still be, carried out.
    servers::asio::awaitable<void> order(std::uint64_t fence, server_pool pool, std::uint32_t wanted,
                                         std::uint32_t present);
    /// Returns the number of servers that each zone of a service has, without those that drain.
    [[nodiscard]] std::map<zone_name, policy::zone_server_counts> get_present(const service_name& service) const;

    platform::cloud_client* m_cloud;
    lease_keeper* m_lease;
    servers::serving_state* m_state;
    std::string m_host;
    std::shared_ptr<spdlog::logger> m_log;
    std::map<server_pool, placed_order> m_orders;
    std::map<service_name, policy::decaying_peak_rate> m_prefill_demand;
    std::map<service_name, double> m_running;
    /// Recent maximum of each pool's target size: servers are released only after they were not needed for a while.
    std::map<server_pool, policy::recent_maximum<std::uint32_t>> m_targets;
    std::optional<std::uint64_t> m_fence;
};

} // namespace dragonflywell::daemon
