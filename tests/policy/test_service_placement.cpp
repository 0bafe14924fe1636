#include <doctest/doctest.h>

#include <array>

#include "policy/service_placement.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;

namespace {

service_candidate make_candidate(const std::string& name, std::uint32_t in_flight, bool is_own_zone) {
    return {.server = backend_server_name(name), .slots = 4, .in_flight = in_flight, .is_own_zone = is_own_zone};
}

} // namespace

TEST_CASE("an instance of the own zone is chosen unless its load is much higher") {
    const std::array near_free{make_candidate("far", 0, false), make_candidate("near", 0, true)};
    CHECK(choose_instance(near_free) == 1);
    const std::array near_busy{make_candidate("far", 0, false), make_candidate("near", 2, true)};
    CHECK(choose_instance(near_busy) == 0);
}

TEST_CASE("cold and failing instances are chosen last") {
    std::array candidates{make_candidate("a", 0, true), make_candidate("b", 1, true)};
    candidates[0].is_cold = true;
    CHECK(choose_instance(candidates) == 1);
    candidates[0].is_cold = false;
    candidates[0].failure_share = 0.5;
    CHECK(choose_instance(candidates) == 1);
    CHECK_FALSE(choose_instance({}));
}

TEST_CASE("a slow instance is chosen when a fast one is loaded beyond the difference of their speeds") {
    std::array candidates{make_candidate("slow", 0, true), make_candidate("fast", 2, true)};
    candidates[0].speed = 0.5;
    candidates[1].speed = 1.5;
    CHECK(choose_instance(candidates) == 1);
    candidates[1].in_flight = 9;
    CHECK(choose_instance(candidates) == 0);
}
