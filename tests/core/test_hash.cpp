#include "core/hash.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace dragonflywell;

TEST_CASE("hashing a name and a seed is deterministic and spreads evenly over the unit interval") {
    CHECK(hash_to_unit_interval("engine", 7) == hash_to_unit_interval("engine", 7));
    constexpr int seeds = 1000;
    double sum = 0;
    std::set<double> values;
    for (int seed = 0; seed < seeds; ++seed) {
        const double share = hash_to_unit_interval("engine", static_cast<std::uint64_t>(seed));
        CHECK(share >= 0);
        CHECK(share < 1);
        sum += share;
        values.insert(share);
    }
    CHECK(sum / seeds > 0.4);
    CHECK(sum / seeds < 0.6);
    CHECK(values.size() > seeds / 2);
}
