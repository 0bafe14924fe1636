#include "daemon/store_dependency.hpp"

#include <doctest/doctest.h>

#include "core/log.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("an outage and a recovery are each reported once") {
    const std::shared_ptr<spdlog::logger> log = get_logger("test");
    daemon::store_dependency dependency(*log, "topic");
    const steady_time now{};
    CHECK_FALSE(dependency.record_success(now));
    CHECK(dependency.record_failure(now, "a test"));
    CHECK_FALSE(dependency.record_failure(now, "a test"));
    CHECK(dependency.is_unavailable());
    CHECK(dependency.record_success(now + 1s));
    CHECK_FALSE(dependency.record_success(now + 1s));
    CHECK_FALSE(dependency.is_unavailable());
}
