#pragma once

#include <optional>
#include <set>
#include <span>

#include "coordination/usage.hpp"
#include "policy/role_planner.hpp"
#include "servers/entry_context.hpp"

namespace dragonflywell::servers {

/// Prefill and decode work of a request, where it is known.
using work_shape = std::optional<policy::role_demand>;

/// Returns where a request goes: among the servers given, not among `tried` while others are left.
/// Engines with an announced role change
/// get nothing new, those in a role for such work are preferred. Throws `request_refused` when there is none. Thread
/// safe.
[[nodiscard]] const fleet::backend_server& choose_backend_server(const entry_context& context,
                                                                 std::span<const fleet::backend_server* const> servers,
                                                                 const std::set<backend_server_name>& tried,
                                                                 const work_shape& work = {});

/// Returns the billing window of a moment. Thread safe.
[[nodiscard]] coordination::window_number get_window(wall_time moment, const fleet::manifest& manifest);

} // namespace dragonflywell::servers
