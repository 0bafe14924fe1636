#pragma once

#include <memory>
#include <vector>

#include "ctl/command.hpp"

namespace dragonflywell::ctl {

/// Returns the commands that show the state of the daemons, the usage and the service report.
[[nodiscard]] std::vector<std::unique_ptr<command>> make_report_commands();

} // namespace dragonflywell::ctl
