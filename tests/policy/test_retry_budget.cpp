#include <doctest/doctest.h>

#include <deque>
#include <random>

#include "policy/retry_budget.hpp"

using namespace dragonflywell;
using policy::retry_budget;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("retries are limited to a share of the requests plus the base allowance") {
    virtual_clock clock;
    retry_budget budget({.retries_per_request = 0.2, .base_retries = 10.0, .window = seconds(10)}, clock.now());
    clock.advance(seconds(10));
    int taken = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.add_request(clock.now());
        taken += budget.try_acquire_retry(clock.now()) ? 1 : 0;
    }
    CHECK(taken <= 10 + 1000 / 5);
    CHECK(taken >= 1000 / 5);
}

TEST_CASE("the whole budget of a window may be spent at once") {
    virtual_clock clock;
    retry_budget budget({.retries_per_request = 0.2, .base_retries = 0, .window = seconds(10)}, clock.now());
    for (int request = 0; request < 50; ++request) {
        budget.add_request(clock.now());
        clock.advance(milliseconds(100));
    }
    int taken = 0;
    while (budget.try_acquire_retry(clock.now())) {
        ++taken;
    }
    CHECK(taken == 10);
}

TEST_CASE("a host without requests may retry again after a window") {
    virtual_clock clock;
    retry_budget budget({.retries_per_request = 0.0, .base_retries = 1.0, .window = seconds(1)}, clock.now());
    CHECK_FALSE(budget.try_acquire_retry(clock.now()));
    clock.advance(seconds(1));
    CHECK(budget.try_acquire_retry(clock.now()));
    CHECK_FALSE(budget.try_acquire_retry(clock.now()));
    clock.advance(milliseconds(999));
    CHECK_FALSE(budget.try_acquire_retry(clock.now()));
    clock.advance(milliseconds(100));
    CHECK(budget.try_acquire_retry(clock.now()));
}

TEST_CASE("the base allowance grows gradually after a restart") {
    virtual_clock clock;
    retry_budget budget({.retries_per_request = 0.0, .base_retries = 10.0, .window = seconds(10)}, clock.now());
    clock.advance(seconds(3));
    int taken = 0;
    while (budget.try_acquire_retry(clock.now())) {
        ++taken;
    }
    CHECK(taken == 3);
}

TEST_CASE("no interval of the window's length contains more retries than its requests allow") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        virtual_clock clock;
        constexpr double per_request = 0.15;
        constexpr double besides = 4;
        const duration window = seconds(10);
        retry_budget budget({.retries_per_request = per_request, .base_retries = besides, .window = window},
                            clock.now());
        std::deque<steady_time> requests;
        std::deque<steady_time> retries;
        for (int step = 0; step < 5000; ++step) {
            // Alternates between bursts and idle phases.
            const int max_ms = step / 500 % 2 == 0 ? 10 : 400;
            clock.advance(milliseconds(std::uniform_int_distribution<int>(0, max_ms)(random)));
            if (std::bernoulli_distribution(0.6)(random)) {
                budget.add_request(clock.now());
                requests.push_back(clock.now());
            }
            if (std::bernoulli_distribution(0.4)(random) && budget.try_acquire_retry(clock.now())) {
                retries.push_back(clock.now());
            }
            while (!requests.empty() && requests.front() <= clock.now() - window) {
                requests.pop_front();
            }
            while (!retries.empty() && retries.front() <= clock.now() - window) {
                retries.pop_front();
            }
            if (!retries.empty() && retries.back() == clock.now()) {
                REQUIRE(static_cast<double>(retries.size()) <=
                        static_cast<double>(requests.size()) * per_request + besides);
            }
        }
    }
}
