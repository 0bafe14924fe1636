#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "policy/fleet_plan.hpp"
#include "policy/stage_plan.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;

namespace {

constexpr auto prefill = fleet::engine_stage::prefill;
constexpr auto decode = fleet::engine_stage::decode;

std::vector<staged_engine> make_engines(std::size_t zones, std::size_t regular, std::size_t cheap) {
    std::vector<staged_engine> engines;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t index = 0; index < regular + cheap; ++index) {
            engines.push_back({.name = backend_server_name(std::to_string(zone) + "-" + std::to_string(index)),
                               .zone = zone_name(std::to_string(zone)),
                               .stage = decode,
                               .is_cheap = index >= regular,
                               .slots = 64});
        }
    }
    return engines;
}

/// Carries changes out until the plan asks for no more, and returns how many there were.
std::size_t settle(std::vector<staged_engine>& engines, const stage_demand& demand) {
    std::size_t count = 0;
    for (int round = 0; round < 100; ++round) {
        const std::vector<stage_change> changes = plan_stages(engines, demand, {});
        if (changes.empty()) {
            return count;
        }
        for (const stage_change& change : changes) {
            const auto engine = std::find_if(engines.begin(), engines.end(),
                                             [&](const staged_engine& item) { return item.name == change.engine; });
            engine->stage = change.stage;
            ++count;
        }
    }
    FAIL("the plan does not settle");
    return count;
}

std::vector<staged_engine> get_generators(const std::vector<staged_engine>& engines) {
    std::vector<staged_engine> generators;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(generators),
                 [](const staged_engine& engine) { return engine.stage == decode; });
    return generators;
}

} // namespace

TEST_CASE("regular engines of all zones generate, as many as the load needs and a spare; all others read prompts") {
    std::vector<staged_engine> engines = make_engines(4, 3, 3);
    settle(engines, {.running = 60});
    const std::vector<staged_engine> generators = get_generators(engines);
    CHECK(generators.size() == 5);
    std::set<zone_name> zones;
    for (const staged_engine& engine : generators) {
        CHECK_FALSE(engine.is_cheap);
        zones.insert(engine.zone);
    }
    CHECK(zones.size() == 4);
}

TEST_CASE("a plan that is carried out asks for nothing more, and a small change of the load for few changes") {
    std::vector<staged_engine> engines = make_engines(4, 3, 3);
    settle(engines, {.running = 60});
    CHECK(plan_stages(engines, {.running = 60}, {}).empty());
    CHECK(settle(engines, {.running = 80}) <= 1);
}

TEST_CASE("only a part of the engines changes at once") {
    const std::vector<staged_engine> engines = make_engines(4, 3, 3);
    CHECK(plan_stages(engines, {.running = 0}, {}).size() == 6);
    std::vector<staged_engine> changing = engines;
    for (std::size_t index = 0; index < 6; ++index) {
        changing[index].is_changing = true;
    }
    CHECK(plan_stages(changing, {.running = 0}, {}).empty());
}

TEST_CASE("prompts are read and answers generated also by a fleet of two, and one engine is left as it is") {
    std::vector<staged_engine> two = make_engines(1, 2, 0);
    settle(two, {.running = 1000});
    CHECK(get_generators(two).size() == 1);
    CHECK(plan_stages(make_engines(1, 1, 0), {.running = 0}, {}).empty());
}

TEST_CASE("each zone is filled with cheap servers up to its limit") {
    const fleet::scaling_description scaling{.least = 1, .most = 6, .lead_time = {}, .cheap_price = 0.2};
    const auto wishes = plan_servers(
        scaling, {{zone_name("a"), {.regular = 3, .cheap = 1}}, {zone_name("b"), {.regular = 7, .cheap = 0}}});
    CHECK(wishes.at(zone_name("a")) == zone_wish{.regular = 3, .cheap = 3});
    CHECK(wishes.at(zone_name("b")) == zone_wish{.regular = 6, .cheap = 0});
}

TEST_CASE("no cheap servers are wanted where there are none") {
    const fleet::scaling_description scaling{.least = 1, .most = 6, .lead_time = {}, .cheap_price = {}};
    CHECK(plan_servers(scaling, {{zone_name("a"), {.regular = 2, .cheap = 0}}}).at(zone_name("a")).cheap == 0);
}
