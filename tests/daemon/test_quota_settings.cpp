#include "daemon/quota_settings.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "core/error.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("the tolerance of quotas comes from the environment, and a broken value is refused with its name") {
    CHECK(daemon::read_quota_tolerance_from_environment() == policy::quota_tolerance{});
    ::setenv("HOST_QUOTA_WINDOW_S", "8", 1);
    ::setenv("HOST_QUOTA_OVERAGE", "0.1", 1);
    ::setenv("HOST_QUOTA_SLACK", "190000", 1);
    CHECK(daemon::read_quota_tolerance_from_environment() ==
          policy::quota_tolerance{.window = 8s, .overage = 0.1, .slack = 190'000});
    ::setenv("HOST_QUOTA_SLACK", "", 1);
    CHECK(daemon::read_quota_tolerance_from_environment().slack == 0);
    ::unsetenv("HOST_QUOTA_SLACK");
    for (const char* name : {"HOST_QUOTA_WINDOW_S", "HOST_QUOTA_OVERAGE", "HOST_QUOTA_SLACK"}) {
        for (const char* text : {"-1", "much", "1x", "nan", "1e99"}) {
            CAPTURE(name);
            CAPTURE(text);
            ::setenv(name, text, 1);
            std::string what;
            try {
                static_cast<void>(daemon::read_quota_tolerance_from_environment());
            } catch (const invalid_input_error& fault) {
                what = fault.what();
            }
            CHECK(what.find(name) != std::string::npos);
        }
        ::unsetenv(name);
    }
}
