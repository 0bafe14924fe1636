#pragma once

#include <string>

namespace dragonflywell {

/// Returns the content of a file. Throws `invalid_input_error` that names the path when it cannot be read.
[[nodiscard]] std::string read_file(const std::string& path);

} // namespace dragonflywell
