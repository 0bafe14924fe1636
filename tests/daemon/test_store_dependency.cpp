#include "daemon/store_dependency.hpp"

#include <doctest/doctest.h>

#include "core/log.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("each further failure doubles the pause up to a bound, and a success ends that") {
    const std::shared_ptr<spdlog::logger> log = get_logger("test");
    daemon::store_dependency dependency(*log, "topic");
    const steady_time now{};
    for (const duration expected : {150ms, 300ms, 600ms, 1200ms, 1200ms, 1200ms}) {
        dependency.set_lost(now, "a test");
        CHECK(dependency.get_retry_pause() == expected);
    }
    dependency.set_reached(now);
    dependency.set_lost(now, "a test");
    CHECK(dependency.get_retry_pause() == 150ms);
}
