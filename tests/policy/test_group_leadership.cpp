#include <array>
#include <doctest/doctest.h>

#include "policy/group_leadership.hpp"

using namespace dragonflywell::policy;

TEST_CASE("the first host by name leads, unless it stops") {
    const std::array others{leader_candidate{.host = "b"}, leader_candidate{.host = "c"}};
    CHECK(leads_group({.host = "a"}, others));
    CHECK_FALSE(leads_group({.host = "b2"}, others));
    CHECK_FALSE(leads_group({.host = "a", .is_stopping = true}, others));
    CHECK(leads_group({.host = "b"}, std::array{leader_candidate{.host = "a", .is_stopping = true}}));
    CHECK(leads_group({.host = "a"}, {}));
}

// Guards against DRAIN: a leader that the store did not answer had no news for its group, and nobody else relayed any.
TEST_CASE("a host that the store does not answer leads only if it answers none of the group") {
    const leader_candidate cut_off{.host = "a", .is_cut_off = true};
    const leader_candidate served{.host = "b"};
    CHECK_FALSE(leads_group(cut_off, std::array{served}));
    CHECK(leads_group(served, std::array{cut_off}));
    CHECK(leads_group(cut_off, std::array{leader_candidate{.host = "b", .is_cut_off = true}}));
    CHECK(leads_group(cut_off, std::array{leader_candidate{.host = "b", .is_stopping = true}}));
}
