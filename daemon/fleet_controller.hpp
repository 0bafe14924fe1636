#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/log.hpp"
#include "daemon/lease_keeper.hpp"
#include "platform/cloud_client.hpp"
#include "policy/fleet_plan.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Orders backend servers while this host holds the lease. Used on one event loop.
class fleet_controller {
public:
    /// Preconditions: all references outlive the controller.
    fleet_controller(platform::cloud_client& cloud, lease_keeper& lease, servers::serving_state& state,
                     std::string host);

    /// Controls for as long as the event loop runs.
    servers::asio::awaitable<void> run();

private:
    /// What can be ordered by itself.
    struct subject {
        service_name service;
        zone_name zone;
        bool is_cheap{false};

        friend auto operator<=>(const subject&, const subject&) = default;
    };
    /// The newest order for a subject under the present fence.
    struct placed_order {
        std::uint32_t wanted{};
        bool is_accepted{false};
        steady_time sent_at{};
    };

    servers::asio::awaitable<void> control(std::uint64_t fence);
    servers::asio::awaitable<void> order(std::uint64_t fence, subject what, std::uint32_t wanted);
    /// Returns the regular servers that each zone of a service had when it was first seen, and the cheap ones of now.
    [[nodiscard]] std::map<zone_name, policy::zone_wish> get_present(const service_name& service);

    platform::cloud_client* m_cloud;
    lease_keeper* m_lease;
    servers::serving_state* m_state;
    std::string m_host;
    std::shared_ptr<spdlog::logger> m_log;
    std::map<subject, placed_order> m_orders;
    std::optional<std::uint64_t> m_fence;
};

} // namespace dragonflywell::daemon
