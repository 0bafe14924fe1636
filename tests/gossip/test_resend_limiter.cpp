#include "gossip/resend_limiter.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("the same records are sent again to a host only after a while, others at once") {
    virtual_clock time;
    gossip::resend_limiter limiter;
    const log_position from{.era = 1, .offset = 3};
    CHECK(limiter.may_send("a", from, time.now()));
    CHECK_FALSE(limiter.may_send("a", from, time.now()));
    CHECK(limiter.may_send("b", from, time.now()));
    CHECK(limiter.may_send("a", {.era = 1, .offset = 4}, time.now()));
    time.advance(150ms);
    CHECK(limiter.may_send("a", {.era = 1, .offset = 4}, time.now()));
    limiter.remove("a");
    CHECK(limiter.may_send("a", {.era = 1, .offset = 4}, time.now()));
}
