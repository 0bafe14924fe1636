#pragma once

#include <memory>
#include <vector>

#include "daemon/control_task.hpp"
#include "daemon/control_task_context.hpp"

namespace dragonflywell::daemon {

/// Creates all control tasks of a daemon. This is the only place where they are registered.
[[nodiscard]] std::vector<std::unique_ptr<control_task>> make_control_tasks(const control_task_context& context);

} // namespace dragonflywell::daemon
