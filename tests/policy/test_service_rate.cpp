#include <doctest/doctest.h>

#include "policy/service_rate.hpp"

using namespace dragonflywell;

TEST_CASE("idle times do not lower the rate") {
    virtual_clock clock;
    policy::service_rate rate(std::chrono::seconds(30));
    CHECK(rate.get_time_for(1000.0) == duration::zero());
    rate.set_busy(clock.now(), true);
    for (int second = 0; second < 10; ++second) {
        clock.advance(std::chrono::seconds(1));
        rate.add_finished(clock.now(), 100.0);
    }
    const duration before = rate.get_time_for(1000.0);
    CHECK(before > std::chrono::seconds(8));
    CHECK(before < std::chrono::seconds(12));
    rate.set_busy(clock.now(), false);
    clock.advance(std::chrono::hours(1));
    rate.add_finished(clock.now(), 1.0);
    CHECK(rate.get_time_for(1000.0) == before);
}
