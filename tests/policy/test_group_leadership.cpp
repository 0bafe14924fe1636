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

// Guards against DRAIN and GONE: hosts with small links led their groups although larger ones were there.
TEST_CASE(
    "the host with the largest link leads, then the one with the largest share of a core, then the first by name") {
    const leader_candidate small{.host = "a",
                                 .capacity = {.link_bytes_per_second = 2'500'000, .core_thousandths = 500}};
    const leader_candidate large{.host = "b", .capacity = {.link_bytes_per_second = 25'000'000}};
    const leader_candidate busy{.host = "a", .capacity = {.link_bytes_per_second = 2'500'000, .core_thousandths = 120}};
    CHECK_FALSE(leads_group(small, std::array{large}));
    CHECK(leads_group(large, std::array{small}));
    CHECK_FALSE(leads_group(busy, std::array{leader_candidate{.host = "c", .capacity = small.capacity}}));
    CHECK(leads_group(small, std::array{leader_candidate{.host = "c", .capacity = small.capacity}}));
    const leader_candidate cut_off{.host = "b", .capacity = large.capacity, .is_cut_off = true};
    CHECK(leads_group(small, std::array{cut_off}));
    const leader_candidate unstated{.host = "a"};
    CHECK(leads_group(busy, std::array{unstated}));
    CHECK_FALSE(leads_group(unstated, std::array{busy}));
}
