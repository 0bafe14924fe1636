#include <doctest/doctest.h>

#include "policy/circuit_breaker.hpp"

using namespace dragonflywell;
using policy::circuit_breaker;
using namespace std::chrono_literals;

namespace {

/// Lets calls that fail at once be tried for a while; returns how many were made.
int count_calls(circuit_breaker& breaker, virtual_clock& clock, duration span) {
    int calls = 0;
    for (duration passed{}; passed < span; passed += 10ms) {
        if (breaker.may_call(clock.now())) {
            ++calls;
            breaker.on_failure(clock.now(), clock.now());
        }
        clock.advance(10ms);
    }
    return calls;
}

} // namespace

TEST_CASE("while a dependency fails few calls are made, and at least one within the longest pause") {
    virtual_clock clock;
    circuit_breaker breaker({.initial_backoff = 100ms, .max_backoff = 1s});
    static_cast<void>(count_calls(breaker, clock, 5s));
    CHECK(count_calls(breaker, clock, 10s) == 10);
}

TEST_CASE("all calls may be made again after one was answered") {
    virtual_clock clock;
    circuit_breaker breaker;
    static_cast<void>(count_calls(breaker, clock, 5s));
    CHECK_FALSE(breaker.may_call(clock.now()));
    breaker.on_success(clock.now());
    CHECK(breaker.may_call(clock.now()));
    CHECK(breaker.may_call(clock.now()));
}

TEST_CASE("a failure says nothing where a call that was sent later was answered") {
    virtual_clock clock;
    circuit_breaker breaker;
    const steady_time sent_at = clock.now();
    clock.advance(10ms);
    breaker.on_success(clock.now());
    clock.advance(1s);
    breaker.on_failure(sent_at, clock.now());
    CHECK(breaker.may_call(clock.now()));
}

TEST_CASE("calls that were under way together and fail together make one short pause") {
    virtual_clock clock;
    circuit_breaker breaker({.initial_backoff = 100ms, .max_backoff = 1s});
    const steady_time sent_at = clock.now();
    clock.advance(50ms);
    for (int call = 0; call < 5; ++call) {
        breaker.on_failure(sent_at, clock.now());
    }
    CHECK_FALSE(breaker.may_call(clock.now()));
    clock.advance(100ms);
    CHECK(breaker.may_call(clock.now()));
}

TEST_CASE("a call that does not end keeps others back for one pause only") {
    virtual_clock clock;
    circuit_breaker breaker({.initial_backoff = 100ms, .max_backoff = 1s});
    breaker.on_failure(clock.now(), clock.now());
    clock.advance(100ms);
    CHECK(breaker.may_call(clock.now()));
    CHECK_FALSE(breaker.may_call(clock.now()));
    clock.advance(100ms);
    CHECK(breaker.may_call(clock.now()));
}

TEST_CASE("each further call that fails doubles the pause up to a bound, and a success ends that") {
    virtual_clock clock;
    circuit_breaker breaker({.initial_backoff = 150ms, .max_backoff = 1200ms});
    for (int round = 0; round < 2; ++round) {
        breaker.on_failure(clock.now(), clock.now());
        for (const duration expected : {150ms, 300ms, 600ms, 1200ms, 1200ms, 1200ms}) {
            CHECK(breaker.get_next_call_at() == clock.now() + expected);
            clock.advance(expected);
            CHECK(breaker.may_call(clock.now()));
            breaker.on_failure(clock.now(), clock.now());
        }
        breaker.on_success(clock.now());
        CHECK_FALSE(breaker.get_next_call_at());
        clock.advance(1ms);
    }
}

TEST_CASE("the pause counts from the start of a call that failed late") {
    virtual_clock clock;
    circuit_breaker breaker({.initial_backoff = 100ms, .max_backoff = 1s});
    static_cast<void>(count_calls(breaker, clock, 5s));
    while (!breaker.may_call(clock.now())) {
        clock.advance(10ms);
    }
    const steady_time sent_at = clock.now();
    clock.advance(700ms);
    breaker.on_failure(sent_at, clock.now());
    CHECK(breaker.get_next_call_at() == sent_at + 1s);
}
