#include "policy/transit_estimator.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("a datagram is late by what it takes beyond the fastest recent one, whatever the clocks show") {
    policy::transit_estimator transit;
    virtual_clock clock;
    // The clock of the sender is an hour ahead; its datagrams take a millisecond.
    const duration ahead = 1h;
    CHECK(transit.observe(ahead - 1ms, clock.now()) == 0ms);
    clock.advance(1s);
    CHECK(transit.observe(ahead - 2s, clock.now()) == 1999ms);
    clock.advance(1s);
    CHECK(transit.observe(ahead - 1ms, clock.now()) == 0ms);
}

TEST_CASE("after a step of a clock the estimate recovers") {
    policy::transit_estimator transit;
    virtual_clock clock;
    CHECK(transit.observe(0ms, clock.now()) == 0ms);
    clock.advance(31s);
    CHECK(transit.observe(-8s, clock.now()) == 0ms);
    CHECK(transit.observe(-7s, clock.now()) == 0ms);
}
