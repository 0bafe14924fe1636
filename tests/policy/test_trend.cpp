#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "policy/trend.hpp"

using namespace dragonflywell::policy;

namespace {

std::vector<double> make_series(std::uint64_t seed, double slope, std::size_t points) {
    std::mt19937_64 random(seed);
    std::normal_distribution<double> noise(0, 0.4);
    std::vector<double> series;
    for (std::size_t index = 0; index < points; ++index) {
        series.push_back(98 + slope * static_cast<double>(index) + noise(random));
    }
    return series;
}

} // namespace

TEST_CASE("a slow decline that is smaller than the noise is detected, for many seeds") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CHECK(find_trend(make_series(seed, -0.02, 100), {}).is_decline);
        CHECK_FALSE(find_trend(make_series(seed, 0, 100), {}).is_decline);
        CHECK_FALSE(find_trend(make_series(seed, 0.02, 100), {}).is_decline);
        CHECK(find_trend(make_series(seed, 0.02, 100), {.bad = bad_direction::up}).is_decline);
    }
}

TEST_CASE("a single outlier or a short series is no trend") {
    std::vector<double> series = make_series(1, 0, 50);
    series.back() = 10;
    CHECK_FALSE(find_trend(series, {}).is_decline);
    CHECK_FALSE(find_trend(make_series(1, -1, 7), {}).is_decline);
}
