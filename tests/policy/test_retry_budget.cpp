#include <doctest/doctest.h>

#include "policy/retry_budget.hpp"

using namespace dragonflywell;

TEST_CASE("retries stay a share of requests once what was saved is spent") {
    virtual_clock clock;
    policy::retry_budget budget({.per_request = 0.2, .per_second = 0.0, .most_saved = 10.0}, clock.now());
    int taken = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.add_request();
        taken += budget.take_retry(clock.now()) ? 1 : 0;
    }
    CHECK(taken <= 10 + 1000 / 5);
    CHECK(taken >= 1000 / 5);
}

TEST_CASE("a quiet host may retry again after a while") {
    virtual_clock clock;
    policy::retry_budget budget({.per_request = 0.0, .per_second = 1.0, .most_saved = 1.0}, clock.now());
    CHECK(budget.take_retry(clock.now()));
    CHECK_FALSE(budget.take_retry(clock.now()));
    clock.advance(std::chrono::seconds(1));
    CHECK(budget.take_retry(clock.now()));
}
