#pragma once

#include <optional>
#include <set>
#include <span>

#include "coordination/usage.hpp"
#include "policy/role_planner.hpp"
#include "policy/work_class.hpp"
#include "servers/entry_context.hpp"

namespace dragonflywell::servers {

/// What placement has to know of a request.
struct work_requirements {
    /// Prefill and decode work, where it is known.
    std::optional<policy::role_demand> demand;
    policy::work_class interruptibility{policy::work_class::guaranteed};
    std::uint64_t tokens{};
    /// Greatest share of this daemon's work in progress that may be on cheap servers, 0 to 1.
    double max_cheap_share{0};
};

/// Returns where a request goes: among the servers given, not among `tried` while others are left.
///
/// Engines with an announced role change get nothing new, and those in a role for such work are preferred. Cheap
/// servers get only work that may be run again, up to its share; other work goes to them only when no regular server
/// offers it. Throws `request_refused` when there is none. Thread safe.
[[nodiscard]] const fleet::backend_server& choose_backend_server(const entry_context& context,
                                                                 std::span<const fleet::backend_server* const> servers,
                                                                 const std::set<backend_server_name>& tried,
                                                                 const work_requirements& work);

/// Returns the billing window of a moment. Thread safe.
[[nodiscard]] coordination::window_number get_window(wall_time moment, const fleet::manifest& manifest);

} // namespace dragonflywell::servers
