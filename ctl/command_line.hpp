#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace dragonflywell::ctl {

/// Runs dragonflywellctl with the given command line arguments, without the program name. Returns the exit code.
/// Not thread safe.
int run_command_line(const std::vector<std::string>& words, std::ostream& out, std::ostream& errors);

} // namespace dragonflywell::ctl
