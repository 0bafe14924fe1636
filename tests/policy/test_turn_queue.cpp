#include "policy/turn_queue.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dragonflywell;
using policy::circuit_breaker;
using policy::turn_queue;
using namespace std::chrono_literals;

TEST_CASE("users of a dependency that fails try in turn, and none is passed over") {
    virtual_clock clock;
    circuit_breaker breaker;
    turn_queue turns;
    breaker.on_failure(clock.now(), clock.now());
    std::vector<turn_queue::ticket> waiting{turns.join(), turns.join(), turns.join()};
    const std::vector<turn_queue::ticket> first = waiting;
    std::vector<turn_queue::ticket> tried;
    while (tried.size() < first.size()) {
        clock.advance(10ms);
        for (turn_queue::ticket& user : waiting) {
            const std::optional<steady_time> turn = turns.get_turn(user, breaker);
            if (!turn || clock.now() < *turn) {
                continue;
            }
            turns.leave(user);
            REQUIRE(breaker.may_call(clock.now()));
            breaker.on_failure(clock.now(), clock.now());
            tried.push_back(user);
            user = turns.join();
        }
    }
    CHECK(tried == first);
}

TEST_CASE("an answered call lets all that wait go on at once") {
    virtual_clock clock;
    circuit_breaker breaker;
    turn_queue turns;
    breaker.on_failure(clock.now(), clock.now());
    const turn_queue::ticket first = turns.join();
    const turn_queue::ticket second = turns.join();
    CHECK(turns.get_turn(first, breaker) > clock.now());
    CHECK_FALSE(turns.get_turn(second, breaker));
    breaker.on_success(clock.now());
    CHECK(turns.get_turn(first, breaker) <= clock.now());
    CHECK(turns.get_turn(second, breaker) <= clock.now());
}
