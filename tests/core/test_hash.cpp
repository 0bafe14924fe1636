#include "core/hash.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace dragonflywell;

TEST_CASE("shares that are drawn are the same each time, and spread over names and seeds") {
    CHECK(hash_to_unit_interval("engine", 7) == hash_to_unit_interval("engine", 7));
    constexpr int draws = 1000;
    double sum = 0;
    std::set<double> values;
    for (int seed = 0; seed < draws; ++seed) {
        const double share = hash_to_unit_interval("engine", static_cast<std::uint64_t>(seed));
        CHECK(share >= 0);
        CHECK(share < 1);
        sum += share;
        values.insert(share);
    }
    CHECK(sum / draws > 0.4);
    CHECK(sum / draws < 0.6);
    CHECK(values.size() > draws / 2);
}
