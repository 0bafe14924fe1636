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

TEST_CASE("prompts of all hosts wait one after the other, and the first has been worked on") {
    virtual_clock time;
    engine_load_tracker board;
    board.set_engines({{engine_a, make_facts()}});
    CHECK(board.get_backlog(engine_a, time.now()) == duration::zero());
    board.start_prefill(engine_a, {.number = 1, .sent_at = time.now(), .cost = 100ms}, {});
    const steady_time second = time.now() + 1ms;
    board.set_host_load("other", {{engine_a, {.prompts = {{.number = 7, .sent_at = second, .cost = 50ms}}}}},
                        time.now());
    time.advance(40ms);
    CHECK(board.get_backlog(engine_a, time.now()) == 110ms);
    // A prompt that takes longer than expected still stands in the way.
    time.advance(200ms);
    CHECK(board.get_backlog(engine_a, time.now()) == 70ms);
    board.end_prefill(engine_a, 1, time.now());
    CHECK(board.get_backlog(engine_a, time.now()) == 50ms);
    board.remove_host("other");
    CHECK(board.get_backlog(engine_a, time.now()) == duration::zero());
}

TEST_CASE("a prompt that follows another one is worked on from the end of that") {
    virtual_clock time;
    engine_load_tracker board;
    board.set_engines({{engine_a, make_facts()}});
    board.start_prefill(engine_a, {.number = 1, .sent_at = time.now(), .cost = 100ms}, {});
    board.start_prefill(engine_a, {.number = 2, .sent_at = time.now() + 1ms, .cost = 100ms}, {});
    time.advance(100ms);
    board.end_prefill(engine_a, 1, time.now());
    time.advance(30ms);
    CHECK(board.get_backlog(engine_a, time.now()) == 70ms);
}

TEST_CASE("an urgent prompt waits for what is being read and for what is as urgent, not for the others") {
    virtual_clock time;
    engine_load_tracker board;
    board.set_engines({{engine_a, make_facts()}});
    board.start_prefill(engine_a, {.number = 1, .sent_at = time.now(), .cost = 100ms, .urgency = 8}, {});
    time.advance(10ms);
    board.start_prefill(engine_a, {.number = 2, .sent_at = time.now(), .cost = 70ms, .urgency = 8}, {});
    board.start_prefill(engine_a, {.number = 3, .sent_at = time.now(), .cost = 30ms, .urgency = 1}, {});
    CHECK(board.get_backlog(engine_a, time.now(), 1) == 120ms);
    CHECK(board.get_backlog(engine_a, time.now(), 9) == 190ms);
    time.advance(90ms);
    board.end_prefill(engine_a, 1, time.now());
    // The urgent one is taken up next, although the other came first.
    time.advance(10ms);
    CHECK(board.get_backlog(engine_a, time.now(), 1) == 20ms);
    CHECK(board.get_backlog(engine_a, time.now(), 9) == 90ms);
}

TEST_CASE("running requests of all hosts are counted") {
    virtual_clock time;
    engine_load_tracker board;
    board.set_engines({{engine_a, make_facts()}});
    board.start_decode(engine_a, 500, {});
    board.set_host_load("other", {{engine_a, {.prompts = {}, .running = 3, .running_tokens = 1'000}}}, time.now());
    CHECK(board.get_running(engine_a) == 4);
    CHECK(board.get_running_tokens(engine_a) == 1'500);
    board.end_decode(engine_a, 500);
    CHECK(board.get_running(engine_a) == 3);
}

TEST_CASE("an engine that starts anew has an empty cache, and one that is gone is forgotten") {
    engine_load_tracker board;
    board.set_engines({{engine_a, make_facts(1)}});
    const std::array parts{prefix_block{.id = 1, .tokens = 100}};
    board.record_prefix_access(engine_a, parts);
    CHECK(board.get_cached_tokens(engine_a, parts) == 100);
    board.set_engines({{engine_a, make_facts(1)}});
    CHECK(board.get_cached_tokens(engine_a, parts) == 100);
    board.set_engines({{engine_a, make_facts(2)}});
    CHECK(board.get_cached_tokens(engine_a, parts) == 0);
    board.set_engines({});
    CHECK(board.find(engine_a) == nullptr);
    // What ends later for an engine that is gone does no harm.
    board.end_decode(engine_a, 1);
}
