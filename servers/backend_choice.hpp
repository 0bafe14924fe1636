#pragma once

#include <functional>
#include <set>

#include "servers/entry_context.hpp"

namespace dragonflywell::servers {

/// Chooses a backend server among those that fit and were not tried yet; when all were tried, among all that fit.
/// Throws `request_refused` when none fits. The reference lives as long as the manifest. Thread safe.
[[nodiscard]] const fleet::backend_server&
choose_backend_server(const entry_context& context, const fleet::manifest& manifest,
                      const std::set<backend_server_name>& tried,
                      const std::function<bool(const fleet::backend_server&)>& fits);

/// Returns the billing window that a moment lies in. Thread safe.
[[nodiscard]] coordination::window_number get_window(wall_time moment, const fleet::manifest& manifest);

} // namespace dragonflywell::servers
