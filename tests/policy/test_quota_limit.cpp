#include "policy/quota_limit.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "policy/owner_order.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("quota limit: two restarts of all hosts within a window stay within the tolerance") {
    // Guards against a part of the tolerance that is given out twice.
    for (const double slack : {0.0, 190'000.0}) {
        for (const double overage : {0.0, 0.01, 0.1}) {
            for (const double burst : {0.0, 100.0, 1e6}) {
                const fleet::quota quota{
                    .rate_per_second = 1000, .burst = burst, .unit = fleet::quota_unit::tokens, .plain_tokens = 1};
                const policy::quota_tolerance tolerance{.window = 8s, .overage = overage, .slack = slack};
                const policy::quota_limit limit = policy::make_quota_limit(quota, tolerance);
                const double used = limit.rate_per_second * 8 + limit.capacity + 2 * limit.restart_level;
                CHECK(used <= (1000 * 8 + burst) * (1 + overage) + slack + 1e-6);
                CHECK(limit.rate_per_second > 0);
                CHECK(limit.capacity > 0);
            }
        }
    }
}

TEST_CASE("quota limit: the slack is in tokens and does not permit more requests") {
    const policy::quota_tolerance tolerance{.window = 8s, .overage = 0.1, .slack = 190'000};
    const fleet::quota quota{.rate_per_second = 10, .burst = 5, .unit = fleet::quota_unit::requests, .plain_tokens = 0};
    CHECK(policy::make_quota_limit(quota, tolerance).capacity < 15);
}

TEST_CASE("quota limit: a request counts as its tokens, as the plain amount, or as one") {
    fleet::quota quota{.rate_per_second = 10, .burst = 5, .unit = fleet::quota_unit::tokens, .plain_tokens = 70};
    CHECK(policy::get_quota_amount(quota, 1500) == 1500);
    CHECK(policy::get_quota_amount(quota, std::nullopt) == 70);
    quota.unit = fleet::quota_unit::requests;
    CHECK(policy::get_quota_amount(quota, 1500) == 1);
}

TEST_CASE("owner order: a host that is gone moves only its own keys, and large hosts own more") {
    // Guards against owners that all change when one host joins or leaves.
    std::vector<policy::owner_candidate> hosts;
    hosts.reserve(20);
    for (int index = 0; index < 20; ++index) {
        hosts.push_back({.host = "host" + std::to_string(index), .core_thousandths = index < 10 ? 100U : 900U});
    }
    std::map<std::string, int> owned;
    for (std::uint64_t key = 0; key < 2000; ++key) {
        const std::vector<std::string> order = policy::get_owner_order(hosts, key);
        CHECK(order.size() == hosts.size());
        ++owned[order.front()];
        std::vector<policy::owner_candidate> fewer(hosts.begin(), hosts.end() - 1);
        std::vector<std::string> expected = order;
        std::erase(expected, hosts.back().host);
        CHECK(policy::get_owner_order(fewer, key) == expected);
    }
    int of_large = 0;
    for (int index = 10; index < 20; ++index) {
        of_large += owned["host" + std::to_string(index)];
    }
    CHECK(of_large > 1700);
    CHECK(of_large < 1900);
}
