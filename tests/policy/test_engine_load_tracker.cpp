#include <doctest/doctest.h>

#include <array>

#include "policy/engine_load_tracker.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;
using namespace std::chrono_literals;

namespace {

const backend_server_name engine_a("a");

engine_attributes make_facts(std::int64_t started_at_ms = 1) {
    return {.zone = zone_name("z"),
            .stage = fleet::engine_stage::prefill,
            .slots = 8,
            .memory_tokens = 100'000,
            .started_at_ms = started_at_ms};
}

} // namespace

TEST_CASE("the backlog sums the prompts of all hosts and subtracts the progress of the running prefill") {
    virtual_clock time;
    engine_load_tracker tracker;
    tracker.set_engines({{engine_a, make_facts()}});
    CHECK(tracker.get_backlog(engine_a, time.now()) == duration::zero());
    tracker.start_prefill(engine_a, {.number = 1, .sent_at = time.now(), .cost = 100ms}, {});
    const steady_time second = time.now() + 1ms;
    tracker.set_host_load("other", {{engine_a, {.prompts = {{.number = 7, .sent_at = second, .cost = 50ms}}}}},
                          time.now());
    time.advance(40ms);
    CHECK(tracker.get_backlog(engine_a, time.now()) == 110ms);
    // An overdue prefill still counts with a part of its expected duration.
    time.advance(200ms);
    CHECK(tracker.get_backlog(engine_a, time.now()) == 70ms);
    tracker.end_prefill(engine_a, 1, time.now());
    CHECK(tracker.get_backlog(engine_a, time.now()) == 50ms);
    tracker.remove_host("other");
    CHECK(tracker.get_backlog(engine_a, time.now()) == duration::zero());
}

TEST_CASE("the progress of a queued prompt counts from the end of the prefill before it") {
    virtual_clock time;
    engine_load_tracker tracker;
    tracker.set_engines({{engine_a, make_facts()}});
    tracker.start_prefill(engine_a, {.number = 1, .sent_at = time.now(), .cost = 100ms}, {});
    tracker.start_prefill(engine_a, {.number = 2, .sent_at = time.now() + 1ms, .cost = 100ms}, {});
    time.advance(100ms);
    tracker.end_prefill(engine_a, 1, time.now());
    time.advance(30ms);
    CHECK(tracker.get_backlog(engine_a, time.now()) == 70ms);
}

TEST_CASE(
    "an urgent prompt waits for the running prefill and for prompts of the same urgency, not for less urgent ones") {
    virtual_clock time;
    engine_load_tracker tracker;
    tracker.set_engines({{engine_a, make_facts()}});
    tracker.start_prefill(engine_a, {.number = 1, .sent_at = time.now(), .cost = 100ms, .urgency = 8}, {});
    time.advance(10ms);
    tracker.start_prefill(engine_a, {.number = 2, .sent_at = time.now(), .cost = 70ms, .urgency = 8}, {});
    tracker.start_prefill(engine_a, {.number = 3, .sent_at = time.now(), .cost = 30ms, .urgency = 1}, {});
    CHECK(tracker.get_backlog(engine_a, time.now(), 1) == 120ms);
    CHECK(tracker.get_backlog(engine_a, time.now(), 9) == 190ms);
    time.advance(90ms);
    tracker.end_prefill(engine_a, 1, time.now());
    // The urgent prompt starts next, although the other one arrived first.
    time.advance(10ms);
    CHECK(tracker.get_backlog(engine_a, time.now(), 1) == 20ms);
    CHECK(tracker.get_backlog(engine_a, time.now(), 9) == 90ms);
}

TEST_CASE("running requests and their tokens are summed over all hosts") {
    virtual_clock time;
    engine_load_tracker tracker;
    tracker.set_engines({{engine_a, make_facts()}});
    tracker.start_decode(engine_a, 500, {});
    tracker.set_host_load("other", {{engine_a, {.prompts = {}, .running = 3, .running_tokens = 1'000}}}, time.now());
    CHECK(tracker.get_running(engine_a) == 4);
    CHECK(tracker.get_running_tokens(engine_a) == 1'500);
    tracker.end_decode(engine_a, 500);
    CHECK(tracker.get_running(engine_a) == 3);
}

TEST_CASE("a restarted engine has an empty cache, and an engine that left the list is removed") {
    engine_load_tracker tracker;
    tracker.set_engines({{engine_a, make_facts(1)}});
    const std::array parts{prefix_block{.id = 1, .tokens = 100}};
    tracker.record_prefix_access(engine_a, parts);
    CHECK(tracker.get_cached_tokens(engine_a, parts) == 100);
    tracker.set_engines({{engine_a, make_facts(1)}});
    CHECK(tracker.get_cached_tokens(engine_a, parts) == 100);
    tracker.set_engines({{engine_a, make_facts(2)}});
    CHECK(tracker.get_cached_tokens(engine_a, parts) == 0);
    tracker.set_engines({});
    CHECK(tracker.find(engine_a) == nullptr);
    // The end of a request on a removed engine is ignored.
    tracker.end_decode(engine_a, 1);
}
