#include "daemon/server_speed_settings.hpp"

#include <cstdlib>
#include <fmt/format.h>
#include <string_view>

#include "core/error.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr const char* variable_name = "HOST_LEARN_SERVER_SPEEDS";

} // namespace

bool read_speed_learning_from_environment() {
    const char* variable = std::getenv(variable_name);
    const std::string_view text = variable == nullptr ? "" : variable;
    if (text == "true") {
        return true;
    }
    if (!text.empty() && text != "false") {
        throw invalid_input_error({{.location = fmt::format("environment variable {}", variable_name),
                                    .message = fmt::format("must be true or false, not \"{}\"", text)}});
    }
    return false;
}

} // namespace dragonflywell::daemon
