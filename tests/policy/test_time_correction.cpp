#include "policy/time_correction.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using policy::get_time_correction;
using namespace std::chrono_literals;

TEST_CASE("a host follows the middle of the clocks, not a minority that was set wrong") {
    CHECK(get_time_correction({2s, 2s, 2s}) == 2s);
    CHECK_FALSE(get_time_correction({0s, 3s, 10ms, -5ms}));
    CHECK(get_time_correction({-3s, -3s, 0s, -3s}) == -3s);
}

TEST_CASE("two clocks, or clocks as close as clocks are, say nothing") {
    CHECK_FALSE(get_time_correction({}));
    CHECK_FALSE(get_time_correction({5s}));
    CHECK_FALSE(get_time_correction({100ms, 120ms, 140ms}));
}
