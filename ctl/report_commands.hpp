#pragma once

#include <memory>
#include <vector>

#include "ctl/command.hpp"

namespace dragonflywell::ctl {

/// Returns the commands that read what the system reports.
[[nodiscard]] std::vector<std::unique_ptr<command>> make_report_commands();

} // namespace dragonflywell::ctl
