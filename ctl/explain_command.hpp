#pragma once

#include <memory>
#include <vector>

#include "ctl/command.hpp"

namespace dragonflywell::ctl {

/// Returns the commands that read the log files of the daemons.
[[nodiscard]] std::vector<std::unique_ptr<command>> make_explain_commands();

} // namespace dragonflywell::ctl
