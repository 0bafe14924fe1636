#include <doctest/doctest.h>

#include "policy/cut_off_state.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;

TEST_CASE("the duration counts from the first check that found the zone cut off, and ends when it is reachable") {
    virtual_clock time;
    cut_off_state state;
    CHECK_FALSE(state.get_cut_off_duration(time.now()).has_value());
    state.set_cut_off(true, time.now());
    time.advance(std::chrono::seconds(3));
    state.set_cut_off(true, time.now());
    time.advance(std::chrono::seconds(2));
    CHECK(state.get_cut_off_duration(time.now()) == std::chrono::seconds(5));
    state.set_cut_off(false, time.now());
    CHECK_FALSE(state.get_cut_off_duration(time.now()).has_value());
}

TEST_CASE("a cut-off zone refuses only organisations that request it, and only after their bound") {
    fleet::organisation organisation{.name = organisation_name("rovers"), .cut_off_grace = std::chrono::seconds(30)};
    CHECK(may_serve_cut_off(organisation, std::chrono::hours(9)));
    organisation.when_cut_off = fleet::cut_off_behaviour::refuse;
    CHECK(may_serve_cut_off(organisation, std::nullopt));
    CHECK(may_serve_cut_off(organisation, std::chrono::seconds(30)));
    CHECK_FALSE(may_serve_cut_off(organisation, std::chrono::seconds(31)));
}
