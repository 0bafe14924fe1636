#include <doctest/doctest.h>

#include "policy/engine_placement.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;
using namespace std::chrono_literals;

namespace {

constexpr auto prefill = fleet::engine_stage::prefill;
constexpr auto decode = fleet::engine_stage::decode;

engine_attributes make_engine(fleet::engine_stage stage) {
    return {.zone = zone_name("a"), .stage = stage, .slots = 10, .memory_tokens = 100'000, .started_at_ms = 1};
}

engine_status accept_any(const backend_server_name& /*engine*/) {
    return {};
}

/// Two engines of each stage. By the observations of another host, the first of each takes much longer.
struct fixture {
    fixture() {
        tracker.set_engines({{backend_server_name("p1"), make_engine(prefill)},
                             {backend_server_name("p2"), make_engine(prefill)},
                             {backend_server_name("d1"), make_engine(decode)},
                             {backend_server_name("d2"), make_engine(decode)}});
        const speed_sums slow{.weight = 100, .load = 10, .squared_load = 2, .slowness = 70, .slowness_by_load = 7};
        const speed_sums fast{.weight = 100, .load = 10, .squared_load = 2, .slowness = -70, .slowness_by_load = -7};
        prefill_speeds.merge("h", {{backend_server_name("p1"), slow}, {backend_server_name("p2"), fast}}, now);
        decode_speeds.merge("h", {{backend_server_name("d1"), slow}, {backend_server_name("d2"), fast}}, now);
        prefill_speeds.refresh(now);
        decode_speeds.refresh(now);
    }

    [[nodiscard]] std::optional<engine_choice> choose(bool uses_speeds) const {
        engine_costs costs{.prefill_model = &prefill_model,
                           .decode_engine_model = &decode_engine_model,
                           .first_event = 20ms,
                           .transfer_per_token = 1us,
                           .prefill_engine_waits = {},
                           .decode_engine_waits = {}};
        if (uses_speeds) {
            costs.prefill_engine_speeds = &prefill_speeds;
            costs.decode_engine_speeds = &decode_speeds;
        }
        return choose_engines(tracker, costs, request, accept_any, now);
    }

    steady_time now{1h};
    generation_requirements request{
        .prompt_tokens = 4'000, .output_tokens = 100, .parts = {}, .seed = 1, .priority = 0, .target = {}};
    prefill_time_model prefill_model;
    prefill_time_model decode_engine_model{4.0};
    engine_load_tracker tracker;
    server_speed_estimator prefill_speeds;
    server_speed_estimator decode_speeds;
};

} // namespace

// Guards against prompts and streams that are placed as if all engines took equally long.
TEST_CASE_FIXTURE(fixture,
                  "a prompt and its stream go to the faster engines, and their speed is in the expected time") {
    for (request.seed = 1; request.seed <= 20; ++request.seed) {
        CAPTURE(request.seed);
        const auto choice = choose(true);
        REQUIRE(choice);
        CHECK(choice->prefill_engine == backend_server_name("p2"));
        CHECK(choice->decode_engine == backend_server_name("d2"));
        CHECK(choice->prefill_speed > 1);
        CHECK(choice->prefill_duration < choose(false)->prefill_duration);
        CHECK(choose_decode_engine(tracker, request, zone_name("a"), accept_any, &decode_speeds) ==
              backend_server_name("d2"));
    }
}

// Guards against a slow engine that gets nothing even when the fast one is full.
TEST_CASE_FIXTURE(fixture, "a stream goes to the slower engine when the faster one is full") {
    for (int stream = 0; stream < 30; ++stream) {
        tracker.start_decode(backend_server_name("d2"), 1'000, {});
    }
    CHECK(choose(true)->decode_engine == backend_server_name("d1"));
}

// Guards against estimates that are used although the operator has turned them off.
TEST_CASE_FIXTURE(fixture, "without speeds all engines count as equal") {
    bool has_used_slow = false;
    for (request.seed = 1; request.seed <= 20; ++request.seed) {
        const auto choice = choose(false);
        has_used_slow = has_used_slow || choice->prefill_engine == backend_server_name("p1");
        CHECK(choice->prefill_speed == 1);
    }
    CHECK(has_used_slow);
}
