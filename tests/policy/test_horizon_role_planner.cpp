#include <doctest/doctest.h>

#include <algorithm>

#include "fleet_model/role_run.hpp"
#include "policy/horizon_role_planner.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;
using fleet::engine_role;

namespace {

constexpr double min_goodput_ratio = 0.95;
constexpr std::uint32_t max_change_ratio = 2;

std::vector<planned_engine> make_engines(int prefill, int decode) {
    std::vector<planned_engine> engines;
    for (int index = 0; index < prefill + decode; ++index) {
        engines.push_back({.name = backend_server_name("e" + std::to_string(index)),
                           .zone = zone_name("z" + std::to_string(index % 4)),
                           .role = index < prefill ? engine_role::prefill : engine_role::decode,
                           .state = engine_state::serving,
                           .target = {},
                           .in_state = {},
                           .units_per_second = 2000});
    }
    return engines;
}

role_inputs make_inputs(const std::vector<planned_engine>& engines, role_demand demand) {
    return {.now = wall_time(std::chrono::seconds(1000)),
            .engines = engines,
            .current = demand,
            .expected = demand,
            .relative_error = 0,
            .freshness = demand_freshness::fresh,
            .has_authority = true};
}

/// Plans twice, so that a change is confirmed by the second plan.
role_plan plan_confirmed(const horizon_role_planner& planner, role_inputs inputs, role_planner_state& state) {
    static_cast<void>(planner.plan(inputs, state));
    inputs.now += std::chrono::seconds(30);
    return planner.plan(inputs, state);
}

constexpr role_demand mostly_decode{.prefill = 4000, .decode = 18000};

} // namespace

TEST_CASE(
    "a lasting shift of the demand changes roles of at most a quarter of the engines at once, from different zones") {
    const horizon_role_planner planner({});
    const std::vector<planned_engine> engines = make_engines(8, 4);
    role_planner_state state;
    const role_inputs inputs = make_inputs(engines, mostly_decode);
    CHECK(planner.plan(inputs, state).reason == role_reason::not_confirmed);
    state = {};
    const role_plan plan = plan_confirmed(planner, inputs, state);
    CHECK(plan.reason == role_reason::ordered);
    REQUIRE(plan.orders.size() == 3);
    CHECK(plan.orders[0].zone != plan.orders[1].zone);
    CHECK(plan.orders[1].zone != plan.orders[2].zone);
    CHECK(plan.orders[0].from == engine_role::prefill);
}

TEST_CASE("no change is ordered without authority, with stale demand, or for too small a gain") {
    const horizon_role_planner planner({});
    const std::vector<planned_engine> engines = make_engines(8, 4);
    role_planner_state state;
    role_inputs inputs = make_inputs(engines, mostly_decode);
    inputs.has_authority = false;
    CHECK(plan_confirmed(planner, inputs, state).reason == role_reason::no_authority);
    inputs = make_inputs(engines, mostly_decode);
    inputs.freshness = demand_freshness::stale;
    CHECK(plan_confirmed(planner, inputs, state).reason == role_reason::stale_demand);
    inputs = make_inputs(engines, {.prefill = 8000, .decode = 4000});
    CHECK(plan_confirmed(planner, inputs, state).reason == role_reason::gain_too_small);
    CHECK(plan_confirmed(planner, inputs, state).orders.empty());
}

TEST_CASE("unavailable engines count against the limit of concurrent changes") {
    const horizon_role_planner planner({});
    std::vector<planned_engine> engines = make_engines(8, 4);
    for (int index = 0; index < 3; ++index) {
        engines[static_cast<std::size_t>(index)].state = engine_state::changing;
        engines[static_cast<std::size_t>(index)].target = engine_role::decode;
    }
    role_planner_state state;
    const role_plan plan = plan_confirmed(planner, make_inputs(engines, {.prefill = 2000, .decode = 22000}), state);
    CHECK(plan.reason == role_reason::cap_reached);
    CHECK(plan.orders.empty());
}

TEST_CASE("the last serving engine never changes its role") {
    const horizon_role_planner planner({});
    const std::vector<planned_engine> engines = make_engines(1, 0);
    role_planner_state state;
    const role_plan plan = plan_confirmed(planner, make_inputs(engines, {.prefill = 0, .decode = 2000}), state);
    CHECK(plan.reason == role_reason::cap_reached);
    CHECK(plan.orders.empty());
}

TEST_CASE("a stuck change is ordered again, even with stale demand") {
    const horizon_role_planner planner({});
    std::vector<planned_engine> engines = make_engines(8, 4);
    engines[0].state = engine_state::changing;
    engines[0].target = engine_role::decode;
    engines[0].in_state = std::chrono::minutes(5);
    role_planner_state state;
    role_inputs inputs = make_inputs(engines, mostly_decode);
    inputs.freshness = demand_freshness::stale;
    const role_plan plan = planner.plan(inputs, state);
    CHECK(plan.reason == role_reason::resumed);
    REQUIRE(plan.orders.size() == 1);
    CHECK(plan.orders[0].engine == engines[0].name);
    CHECK(plan.orders[0].to == engine_role::decode);
    engines[0].state = engine_state::lost;
    CHECK(planner.plan(inputs, state).orders.empty());
}

TEST_CASE("goodput and changes stay within the target relative to an oracle that knows the future") {
    using namespace dragonflywell::fleet_model;
    const horizon_role_planner planner({});
    for (const deployment& fleet : {make_jonosfera(), make_carbonera()}) {
        for (const trace_kind kind : {trace_kind::storm_swing, trace_kind::engine_lost, trace_kind::log_outage,
                                      trace_kind::lagging_reports, trace_kind::missing_reports}) {
            CAPTURE(get_trace_name(kind));
            const demand_trace trace = make_trace(fleet, {.kind = kind, .seed = 1});
            const role_split start = find_best_split(fleet, trace, {.from = 0, .to = 60});
            const role_result result = run_roles(fleet, trace, planner, start, 1);
            const role_result oracle = run_oracle(fleet, trace);
            CHECK(result.goodput >= min_goodput_ratio * oracle.goodput);
            CHECK(result.changes <= max_change_ratio * oracle.changes);
        }
    }
}
