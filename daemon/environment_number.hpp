#pragma once

#include <optional>

#include "core/settings_reader.hpp"

namespace dragonflywell::daemon {

/// Returns the number in an environment variable, or nothing if it is missing or empty. Throws `invalid_input_error`
/// that names the variable for other values than numbers in the range.
[[nodiscard]] std::optional<double> read_number_from_environment(const char* name, number_range range);

} // namespace dragonflywell::daemon
