#include <cstdlib>
#include <doctest/doctest.h>

#include "core/error.hpp"
#include "daemon/server_speed_settings.hpp"

using namespace dragonflywell;

TEST_CASE("an operator can turn the learning of server speeds on, and a wrong value is refused") {
    ::unsetenv("HOST_LEARN_SERVER_SPEEDS");
    CHECK_FALSE(daemon::read_speed_learning_from_environment());
    ::setenv("HOST_LEARN_SERVER_SPEEDS", "", 1);
    CHECK_FALSE(daemon::read_speed_learning_from_environment());
    ::setenv("HOST_LEARN_SERVER_SPEEDS", "true", 1);
    CHECK(daemon::read_speed_learning_from_environment());
    ::setenv("HOST_LEARN_SERVER_SPEEDS", "false", 1);
    CHECK_FALSE(daemon::read_speed_learning_from_environment());
    for (const char* text : {"no", "1", "TRUE", "{{x}}"}) {
        CAPTURE(text);
        ::setenv("HOST_LEARN_SERVER_SPEEDS", text, 1);
        CHECK_THROWS_AS(static_cast<void>(daemon::read_speed_learning_from_environment()), invalid_input_error);
    }
    ::unsetenv("HOST_LEARN_SERVER_SPEEDS");
}
