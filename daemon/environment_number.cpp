#include "daemon/environment_number.hpp"

#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <string_view>

#include "core/error.hpp"

namespace dragonflywell::daemon {

std::optional<double> read_number_from_environment(const char* name, number_range range) {
    const char* text = std::getenv(name);
    if (text == nullptr || *text == '\0') {
        return std::nullopt;
    }
    const std::string_view digits(text);
    double number = 0;
    const auto [end, fault] = std::from_chars(digits.begin(), digits.end(), number);
    if (fault != std::errc() || end != digits.end() || !(number >= range.min && number <= range.max)) {
        throw invalid_input_error(
            {{.location = fmt::format("environment variable {}", name),
              .message = fmt::format("must be a number from {} to {}, not \"{}\"", range.min, range.max, digits)}});
    }
    return number;
}

} // namespace dragonflywell::daemon
