#include "policy/time_correction.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using policy::get_time_correction;
using namespace std::chrono_literals;

TEST_CASE("a host follows the median of the clocks, not a minority of wrong clocks") {
    CHECK(get_time_correction({2s, 2s, 2s}) == 2s);
    CHECK_FALSE(get_time_correction({0s, 3s, 10ms, -5ms}));
    CHECK(get_time_correction({-3s, -3s, 0s, -3s}) == -3s);
}

TEST_CASE("two clocks, or clocks within the normal difference, cause no correction") {
    CHECK_FALSE(get_time_correction({}));
    CHECK_FALSE(get_time_correction({5s}));
    CHECK_FALSE(get_time_correction({100ms, 120ms, 140ms}));
}
