#include "policy/wait_queue.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dragonflywell;
using policy::circuit_breaker;
using policy::wait_queue;
using namespace std::chrono_literals;

TEST_CASE("callers of a failing dependency probe it in FIFO order, and none starves") {
    virtual_clock clock;
    circuit_breaker breaker;
    wait_queue turns;
    breaker.on_failure(clock.now(), clock.now());
    std::vector<wait_queue::ticket> waiting{turns.join(), turns.join(), turns.join()};
    const std::vector<wait_queue::ticket> first = waiting;
    std::vector<wait_queue::ticket> tried;
    while (tried.size() < first.size()) {
        clock.advance(10ms);
        for (wait_queue::ticket& user : waiting) {
            const std::optional<steady_time> turn = turns.get_wait_end(user, breaker);
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

TEST_CASE("an answered call releases all waiting callers at once") {
    virtual_clock clock;
    circuit_breaker breaker;
    wait_queue turns;
    breaker.on_failure(clock.now(), clock.now());
    const wait_queue::ticket first = turns.join();
    const wait_queue::ticket second = turns.join();
    CHECK(turns.get_wait_end(first, breaker) > clock.now());
    CHECK_FALSE(turns.get_wait_end(second, breaker));
    breaker.on_success(clock.now());
    CHECK(turns.get_wait_end(first, breaker) <= clock.now());
    CHECK(turns.get_wait_end(second, breaker) <= clock.now());
}
