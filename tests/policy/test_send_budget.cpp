#include "policy/send_budget.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("what is sent in any time stays within the rate, the burst and one datagram") {
    constexpr double rate = 1000;
    constexpr double burst = 200;
    constexpr std::size_t largest = 500;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        virtual_clock clock;
        policy::send_budget budget({.bytes_per_second = rate, .burst_bytes = burst});
        const steady_time start = clock.now();
        double sent = 0;
        while (clock.now() < start + 60s) {
            if (budget.get_wait(clock.now()) == duration::zero()) {
                const std::size_t bytes = 1 + random() % largest;
                budget.spend(bytes, clock.now());
                sent += static_cast<double>(bytes);
            }
            const double seconds = std::chrono::duration<double>(clock.now() - start).count();
            CHECK(sent <= rate * seconds + burst + largest);
            clock.advance(std::chrono::milliseconds(random() % 50));
        }
        // A sender that always has something to send uses the rate.
        CHECK(sent >= rate * 60 * 0.9);
    }
}

TEST_CASE("something may be sent when the time that was returned is over") {
    virtual_clock clock;
    policy::send_budget budget({.bytes_per_second = 1000, .burst_bytes = 10});
    budget.spend(1010, clock.now());
    const duration wait = budget.get_wait(clock.now());
    CHECK(wait > 1s);
    CHECK(wait < 1100ms);
    clock.advance(wait);
    CHECK(budget.get_wait(clock.now()) == duration::zero());
}
