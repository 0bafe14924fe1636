#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace dragonflywell::ctl {

/// Runs dragonflywellctl with the words after the program's name and returns its exit code. Not thread safe.
int run_command_line(const std::vector<std::string>& words, std::ostream& out, std::ostream& errors);

} // namespace dragonflywell::ctl
