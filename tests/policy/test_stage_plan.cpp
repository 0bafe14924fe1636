#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "policy/decaying_peak_rate.hpp"
#include "policy/fleet_plan.hpp"
#include "policy/recent_maximum.hpp"
#include "policy/stage_plan.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;

namespace {

/// The expected numbers of engines follow from this fill.
const stage_plan_options fill_options{.decode_fill = 0.3};

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

/// Executes changes until the plan contains none, and returns how many there were.
std::size_t apply_until_stable(std::vector<staged_engine>& engines, const stage_demand& demand) {
    std::size_t count = 0;
    for (int round = 0; round < 100; ++round) {
        const std::vector<stage_change> changes = plan_stages(engines, demand, fill_options);
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
    FAIL("the plan does not converge");
    return count;
}

std::vector<staged_engine> get_decode_engines(const std::vector<staged_engine>& engines) {
    std::vector<staged_engine> generators;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(generators),
                 [](const staged_engine& engine) { return engine.stage == decode; });
    return generators;
}

} // namespace

TEST_CASE("as many regular engines of all zones decode as the load and a reserve need; all others run prefills") {
    std::vector<staged_engine> engines = make_engines(4, 3, 3);
    apply_until_stable(engines, {.running = 60});
    const std::vector<staged_engine> generators = get_decode_engines(engines);
    // 60 requests need four engines, which makes seven with the spare ones.
    CHECK(generators.size() == 7);
    std::set<zone_name> zones;
    for (const staged_engine& engine : generators) {
        CHECK_FALSE(engine.is_cheap);
        zones.insert(engine.zone);
    }
    CHECK(zones.size() == 4);
}

TEST_CASE("an executed plan is stable, and a small change of the load causes few stage changes") {
    std::vector<staged_engine> engines = make_engines(4, 3, 3);
    apply_until_stable(engines, {.running = 60});
    CHECK(plan_stages(engines, {.running = 60}, fill_options).empty());
    CHECK(apply_until_stable(engines, {.running = 80}) <= 1);
}

TEST_CASE("only a part of the engines changes at once while requests run, and all may before the first request") {
    const std::vector<staged_engine> engines = make_engines(4, 3, 3);
    CHECK(plan_stages(engines, {.running = 1}, fill_options).size() == 6);
    std::vector<staged_engine> changing = engines;
    for (std::size_t index = 0; index < 6; ++index) {
        changing[index].is_changing = true;
    }
    CHECK(plan_stages(changing, {.running = 1}, fill_options).empty());
    // A host that has just started may not know the load yet, so the limit applies without running requests, too.
    CHECK(plan_stages(engines, {.running = 0}, fill_options).size() == 6);
    CHECK(plan_stages(engines, {.running = 0, .is_before_first_request = true}, fill_options).size() == 21);
}

TEST_CASE("a fleet of two engines runs both stages, and a single engine is never changed") {
    std::vector<staged_engine> two = make_engines(1, 2, 0);
    apply_until_stable(two, {.running = 1000});
    CHECK(get_decode_engines(two).size() == 1);
    CHECK(plan_stages(make_engines(1, 1, 0), {.running = 0}, fill_options).empty());
}

namespace {

std::map<zone_name, zone_server_counts> make_zones(std::size_t count, const zone_server_counts& servers) {
    std::map<zone_name, zone_server_counts> zones;
    for (std::size_t zone = 0; zone < count; ++zone) {
        zones.emplace(zone_name(std::to_string(zone)), servers);
    }
    return zones;
}

const fleet::scaling_description scaling_with_cheap{
    .min_servers = 1, .max_servers = 6, .lead_time = {}, .cheap_price = 0.2, .zone_prices = {}};

} // namespace

TEST_CASE("while the load is unknown, each zone is filled up with cheap servers") {
    const auto wishes = plan_servers(scaling_with_cheap, make_zones(4, {.regular = 3, .cheap = 0}),
                                     {.prefill_engines = {}, .decode_engines = 4}, {});
    for (const auto& [zone, wish] : wishes) {
        CHECK(wish == zone_server_counts{.regular = 2, .cheap = 4});
    }
}

TEST_CASE("there are enough cheap servers to run all prefills in time after one zone has lost its own") {
    const auto wishes = plan_servers(scaling_with_cheap, make_zones(4, {.regular = 2, .cheap = 4}),
                                     {.prefill_engines = 3.5, .decode_engines = 9}, {.prefill_utilisation = 0.5});
    for (const auto& [zone, wish] : wishes) {
        // Seven prefill engines are needed on three remaining zones; nine decode engines need three regular servers in
        // each zone.
        CHECK(wish == zone_server_counts{.regular = 3, .cheap = 3});
    }
}

TEST_CASE("no zone gets more servers than its maximum or fewer than its minimum") {
    const auto crowded = plan_servers(scaling_with_cheap, make_zones(2, {.regular = 1, .cheap = 5}),
                                      {.prefill_engines = 100.0, .decode_engines = 100}, {});
    CHECK(crowded.begin()->second == zone_server_counts{.regular = 6, .cheap = 0});
    const auto idle = plan_servers(scaling_with_cheap, make_zones(2, {.regular = 3, .cheap = 0}),
                                   {.prefill_engines = 0.01, .decode_engines = 0}, {});
    CHECK(idle.begin()->second == zone_server_counts{.regular = 2, .cheap = 1});
}

TEST_CASE("without cheap servers, regular ones run prefills, too") {
    const fleet::scaling_description scaling{
        .min_servers = 1, .max_servers = 6, .lead_time = {}, .cheap_price = {}, .zone_prices = {}};
    const auto zones = make_zones(4, {.regular = 3, .cheap = 0});
    CHECK(plan_servers(scaling, zones, {.prefill_engines = {}, .decode_engines = 4}, {}).begin()->second ==
          zone_server_counts{.regular = 3, .cheap = 0});
    CHECK(plan_servers(scaling, zones, {.prefill_engines = 3.5, .decode_engines = 4}, {.prefill_utilisation = 0.5})
              .begin()
              ->second == zone_server_counts{.regular = 4, .cheap = 0});
}

TEST_CASE("the maximum of a window is kept until it leaves the window") {
    virtual_clock time;
    recent_maximum<std::uint32_t> maximum(std::chrono::seconds(10));
    CHECK(maximum.observe(5, time.now()) == 5);
    time.advance(std::chrono::seconds(6));
    CHECK(maximum.observe(3, time.now()) == 5);
    time.advance(std::chrono::seconds(5));
    CHECK(maximum.observe(2, time.now()) == 3);
    CHECK(maximum.observe(7, time.now()) == 7);
}

TEST_CASE("the peak of the demand follows a rise at once and decays slowly") {
    virtual_clock time;
    decaying_peak_rate height({.span = std::chrono::seconds(2), .half_life = std::chrono::seconds(20)});
    height.observe(0, time.now());
    CHECK_FALSE(height.get());
    time.advance(std::chrono::seconds(2));
    height.observe(10, time.now());
    CHECK(height.get() == doctest::Approx(5));
    time.advance(std::chrono::seconds(20));
    height.observe(10, time.now());
    CHECK(height.get() == doctest::Approx(2.5));
    time.advance(std::chrono::seconds(2));
    height.observe(30, time.now());
    CHECK(height.get() == doctest::Approx(10));
}

TEST_CASE("before the first request about a quarter of the engines decodes, in small and in large fleets") {
    const stage_plan_options options;
    for (const std::size_t engines : {12UL, 60UL, 140UL}) {
        CAPTURE(engines);
        const double running = assume_initial_running(engines, 64, options);
        const std::uint32_t generators = count_decode_engines(64, {.running = running}, options);
        CHECK(generators >= engines / 5);
        CHECK(generators <= engines / 4);
    }
    CHECK(assume_initial_running(1, 64, options) == 0);
}
