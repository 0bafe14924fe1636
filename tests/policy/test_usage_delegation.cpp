#include <doctest/doctest.h>

#include "policy/usage_delegation.hpp"

using namespace dragonflywell;
using policy::usage_delegation;
using choice = usage_delegation::choice;
using namespace std::chrono_literals;

TEST_CASE("a host without a group leader records at once") {
    const usage_delegation delegation(2s);
    CHECK(delegation.choose(10, 9, 0s) == choice::record);
}

TEST_CASE("a host leaves a window to its group leader, and records it itself after a timeout") {
    usage_delegation delegation(2s);
    delegation.set_delegated(true);
    CHECK(delegation.choose(10, 9, 200ms) == choice::wait);
    CHECK(delegation.choose(10, 9, 1999ms) == choice::wait);
    CHECK(delegation.choose(10, 9, 2s) == choice::record);
    delegation.note_recorded(10);
    CHECK(delegation.choose(10, 9, 200ms) == choice::is_recorded);
    CHECK(delegation.choose(11, 10, 200ms) == choice::wait);
}

TEST_CASE("a host records itself if more windows are missing than its digest carries") {
    usage_delegation delegation(2s);
    delegation.set_delegated(true);
    delegation.note_recorded(10);
    CHECK(delegation.choose(10, 8, 200ms) == choice::is_recorded);
    CHECK(delegation.choose(10, 7, 200ms) == choice::record);
}

TEST_CASE("a confirmation of an earlier window does not undo that of a later one") {
    usage_delegation delegation(2s);
    delegation.note_recorded(10);
    delegation.note_recorded(9);
    CHECK(delegation.choose(10, 9, 0s) == choice::is_recorded);
}
