#pragma once

#include <optional>
#include <set>
#include <span>

#include "coordination/usage.hpp"
#include "policy/role_planner.hpp"
#include "policy/work_class.hpp"
#include "servers/entry_context.hpp"

namespace dragonflywell::servers {

/// Properties of a request that placement needs.
struct work_requirements {
    /// Prefill and decode demand, where it is known.
    std::optional<policy::role_demand> demand;
    policy::work_class interruptibility{policy::work_class::guaranteed};
    std::uint64_t tokens{};
    /// Maximum share of the in-flight work of this daemon on cheap servers, 0 to 1.
    double max_cheap_share{0};
};

/// Chooses one of the given servers. A server in `tried` is chosen only when no other is left.
///
/// An engine with an announced role change gets no new work, and an engine whose role suits the work is preferred. A
/// cheap server, which may be withdrawn at any time, gets only work that may be run again, up to its share. Other work
/// goes to a cheap server only when no regular server offers the service. Throws `request_refused` when there is no
/// server. Thread safe.
[[nodiscard]] const fleet::backend_server& choose_backend_server(const entry_context& context,
                                                                 std::span<const fleet::backend_server* const> servers,
                                                                 const std::set<backend_server_name>& tried,
                                                                 const work_requirements& work);

/// Returns the billing window that contains the given time. Thread safe.
[[nodiscard]] coordination::window_number get_window(wall_time moment, const fleet::manifest& manifest);

} // namespace dragonflywell::servers
