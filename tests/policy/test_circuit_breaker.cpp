#include <doctest/doctest.h>

#include "policy/circuit_breaker.hpp"

using namespace dragonflywell;
using policy::circuit_breaker;
using namespace std::chrono_literals;

namespace {

/// Tries calls that fail immediately for the given span, and returns how many the breaker permitted.
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

TEST_CASE("while a dependency fails, one probe call is made for each maximum backoff") {
    virtual_clock clock;
    circuit_breaker breaker({.initial_backoff = 100ms, .max_backoff = 1s});
    static_cast<void>(count_calls(breaker, clock, 5s));
    CHECK(count_calls(breaker, clock, 10s) == 10);
}

TEST_CASE("all calls are permitted again after one was answered") {
    virtual_clock clock;
    circuit_breaker breaker;
    static_cast<void>(count_calls(breaker, clock, 5s));
    CHECK_FALSE(breaker.may_call(clock.now()));
    breaker.on_success(clock.now());
    CHECK(breaker.may_call(clock.now()));
    CHECK(breaker.may_call(clock.now()));
}

TEST_CASE("a failure of a call that was sent before a later success is ignored") {
    virtual_clock clock;
    circuit_breaker breaker;
    const steady_time sent_at = clock.now();
    clock.advance(10ms);
    breaker.on_success(clock.now());
    clock.advance(1s);
    breaker.on_failure(sent_at, clock.now());
    CHECK(breaker.may_call(clock.now()));
}

TEST_CASE("concurrent calls that fail together start a single short backoff") {
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

TEST_CASE("a probe that never ends blocks other calls for one backoff only") {
    virtual_clock clock;
    circuit_breaker breaker({.initial_backoff = 100ms, .max_backoff = 1s});
    breaker.on_failure(clock.now(), clock.now());
    clock.advance(100ms);
    CHECK(breaker.may_call(clock.now()));
    CHECK_FALSE(breaker.may_call(clock.now()));
    clock.advance(100ms);
    CHECK(breaker.may_call(clock.now()));
}

TEST_CASE("each further failure doubles the backoff up to its maximum, and a success resets it") {
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

TEST_CASE("the backoff counts from the start of a call that failed late") {
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
