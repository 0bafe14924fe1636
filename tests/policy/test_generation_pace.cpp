#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <vector>

#include "policy/generation_pace.hpp"
#include "policy/stage_plan.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;
using namespace std::chrono_literals;

namespace {

constexpr double slots = 64;
constexpr duration target_gap = 300ms;

duration from_milliseconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

/// Engines of three speeds; now and then one takes 2.5 times as long for a moment.
struct uneven_engines {
    double idle_interval_ms{};
    double interval_ms_per_request{};
    std::array<double, 3> speeds{0.6, 1.0, 1.6};
    double slow_share{0.15};
    double slow_factor{2.5};

    /// Returns the time between two events on an engine that runs that many requests.
    duration draw_interval(double running, std::size_t engine, std::mt19937& random) const {
        const bool is_slow = std::bernoulli_distribution(slow_share)(random);
        const double interval = idle_interval_ms + interval_ms_per_request * running;
        return from_milliseconds(interval * (is_slow ? slow_factor : 1) / speeds.at(engine % speeds.size()));
    }
};

constexpr uneven_engines long_steps{.idle_interval_ms = 46, .interval_ms_per_request = 1.2};
constexpr uneven_engines short_steps{
    .idle_interval_ms = 20, .interval_ms_per_request = 0.4, .speeds = {1, 1, 1}, .slow_share = 0};

constexpr std::size_t events_of_stream = 20;
/// Events for which a moment of contention lasts.
constexpr std::size_t events_of_moment = 5;

struct stream_result {
    duration mean{};
    duration longest{};
};

stream_result play_stream(const uneven_engines& engines, double running, std::size_t engine, std::mt19937& random) {
    stream_result result;
    duration interval{};
    duration sum{};
    for (std::size_t event = 0; event < events_of_stream; ++event) {
        if (event % events_of_moment == 0) {
            interval = engines.draw_interval(running, engine, random);
        }
        sum += interval;
        result.longest = std::max(result.longest, interval);
    }
    result.mean = sum / static_cast<std::int64_t>(events_of_stream);
    return result;
}

generation_pace learn(const uneven_engines& engines, std::mt19937& random) {
    generation_pace pace;
    for (std::size_t stream = 0; stream < 300; ++stream) {
        const double running = std::uniform_int_distribution<int>(4, 24)(random);
        pace.observe(running, play_stream(engines, running, stream, random).mean);
    }
    return pace;
}

/// Returns the share of streams without a pause beyond the target while engines are filled to that share.
double get_on_time_share(const uneven_engines& engines, double fill, std::mt19937& random) {
    constexpr std::size_t streams = 3000;
    std::size_t on_time = 0;
    for (std::size_t stream = 0; stream < streams; ++stream) {
        on_time += play_stream(engines, fill * slots, stream, random).longest <= target_gap ? 1 : 0;
    }
    return static_cast<double>(on_time) / streams;
}

} // namespace

TEST_CASE("the number of requests for which events are fast enough is learned from streams") {
    std::mt19937 random(1);
    const generation_pace pace = learn(short_steps, random);
    const std::optional<double> supported = pace.get_supported_requests(32ms);
    REQUIRE(supported);
    CHECK(*supported == doctest::Approx(30).epsilon(0.1));
    CHECK(pace.get_supported_requests(10ms) == 0);
}

TEST_CASE("before enough streams have been observed the pace is unknown") {
    generation_pace pace;
    for (int stream = 0; stream < 29; ++stream) {
        pace.observe(10, 50ms);
    }
    CHECK_FALSE(pace.get_supported_requests(75ms));
    CHECK(plan_fill(pace, target_gap, slots) == fill_options{}.assumed_fill);
    pace.observe(10, 50ms);
    CHECK(pace.get_supported_requests(75ms));
}

TEST_CASE("streams without a target for their pauses are planned with the largest fill") {
    std::mt19937 random(1);
    CHECK(plan_fill(learn(long_steps, random), duration::zero(), slots) == fill_options{}.max_fill);
}

// The load: streams on engines of three speeds of which each is 2.5 times slower for 15 % of the time.
TEST_CASE("on uneven engines streams become late by their pauses if every engine is planned half full") {
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const double fill = plan_fill(learn(long_steps, random), target_gap, slots);
        CHECK(fill < 0.3);
        const double half_full = get_on_time_share(long_steps, 0.5, random);
        const double planned = get_on_time_share(long_steps, fill, random);
        CHECK(half_full < 0.9);
        CHECK(planned >= 0.95);
    }
}

// The load: engines with short steps, on which half of the slots leaves pauses far below the target.
TEST_CASE("engines that are fast enough are still planned half full") {
    std::mt19937 random(1);
    CHECK(plan_fill(learn(short_steps, random), target_gap, slots) == fill_options{}.max_fill);
}

TEST_CASE("the engines that generate are counted by the planned fill") {
    const stage_demand demand{.running = 256};
    const std::uint32_t half_full = count_decode_engines(slots, demand, {.decode_fill = 0.5});
    const std::uint32_t quarter_full = count_decode_engines(slots, demand, {.decode_fill = 0.25});
    CHECK(half_full == 12);
    CHECK(quarter_full == 23);
}

// The load: a small fleet whose prefills keep half of the engines that it may have busy.
TEST_CASE("engines that prefills need are not taken for a lower fill of decode engines") {
    const stage_plan_options options{.decode_fill = 0.25};
    const stage_demand busy{.running = 96, .prefill_engines = 4};
    const stage_demand calm{.running = 96, .prefill_engines = 1};
    const std::size_t half_full = count_decode_engines(slots, busy, {.decode_fill = 0.5});
    const std::size_t quarter_full = count_decode_engines(slots, busy, options);
    REQUIRE(half_full < quarter_full);
    CHECK(split_engines(16, slots, busy, options) == half_full);
    CHECK(split_engines(16, slots, calm, options) == quarter_full);
    CHECK(split_engines(60, slots, busy, options) == quarter_full);
}
