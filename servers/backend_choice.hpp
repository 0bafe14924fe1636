#pragma once

#include <set>
#include <span>

#include "coordination/usage.hpp"
#include "servers/entry_context.hpp"

namespace dragonflywell::servers {

/// Returns where a request goes: among the servers given, not among `tried` while others are left.
/// Throws `request_refused` when there is none. Thread safe.
[[nodiscard]] const fleet::backend_server& choose_backend_server(const entry_context& context,
                                                                 std::span<const fleet::backend_server* const> servers,
                                                                 const std::set<backend_server_name>& tried);

/// Returns the billing window of a moment. Thread safe.
[[nodiscard]] coordination::window_number get_window(wall_time moment, const fleet::manifest& manifest);

} // namespace dragonflywell::servers
