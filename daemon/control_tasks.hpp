#pragma once

#include <memory>
#include <vector>

#include "daemon/control_task.hpp"
#include "daemon/daemon_parts.hpp"

namespace dragonflywell::daemon {

/// Makes the control tasks of a daemon: the one place where they are registered.
[[nodiscard]] std::vector<std::unique_ptr<control_task>> make_control_tasks(const daemon_parts& parts);

} // namespace dragonflywell::daemon
