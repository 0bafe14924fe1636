#include "daemon/caller_limit_settings.hpp"

#include <doctest/doctest.h>

#include <cstdlib>

#include "core/error.hpp"

using namespace dragonflywell;

// Guards against a host that takes the defaults of a larger machine, or starts with a value that it does not
// understand.
TEST_CASE("memory and descriptors of the host come from the environment") {
    ::setenv("HOST_MEMORY_MB", "120", 1);
    ::setenv("HOST_MAX_DESCRIPTORS", "", 1);
    CHECK(daemon::read_caller_limits_from_environment().memory_mb == 120);
    CHECK(daemon::read_caller_limits_from_environment().max_descriptors == 0);
    ::setenv("HOST_MAX_DESCRIPTORS", "300.0", 1);
    CHECK(daemon::read_caller_limits_from_environment().max_descriptors == 300);
    for (const char* text : {"many", "-1", "0", "nan", "120 MB", "1e30"}) {
        ::setenv("HOST_MAX_DESCRIPTORS", text, 1);
        CHECK_THROWS_AS(static_cast<void>(daemon::read_caller_limits_from_environment()), invalid_input_error);
    }
    ::unsetenv("HOST_MAX_DESCRIPTORS");
    ::unsetenv("HOST_MEMORY_MB");
    CHECK(daemon::read_caller_limits_from_environment().memory_mb == daemon::caller_limit_settings::default_memory_mb);
}

// Guards against callers that get more than a host has.
TEST_CASE("callers get a part of the memory and not all descriptors") {
    constexpr std::size_t megabyte = 1024UL * 1024;
    const daemon::caller_limit_settings small{.memory_mb = 120, .max_descriptors = 300};
    // The stated target: a host with 120 MB stays under 80 MB, of which the process without load takes 11 MB.
    CHECK(small.get_caller_limits().budget_bytes + small.get_response_bytes() < 69 * megabyte);
    CHECK(small.get_caller_limits().max_connections < 300);
    CHECK(small.get_caller_limits().max_connections > 100);
    const daemon::caller_limit_settings smallest{.memory_mb = 32, .max_descriptors = 128};
    CHECK(smallest.get_caller_limits().max_connections >= 1);
}
