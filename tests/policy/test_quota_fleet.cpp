#include <doctest/doctest.h>

#include <numeric>

#include "quota_simulation.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;
using testing::quota_simulation;

namespace {

constexpr double rate = 20'000;
constexpr double burst = 10'000;
constexpr double request_tokens = 800;
constexpr policy::quota_tolerance platform_tolerance{.window = 8s, .overage = 0.1, .slack = 190'000};
/// Without slack, so that a fault of a tenth of the quota shows.
constexpr policy::quota_tolerance tight_tolerance{.window = 8s, .overage = 0.1, .slack = 0};

fleet::quota make_quota(double per_second) {
    return {.rate_per_second = per_second, .burst = burst, .unit = fleet::quota_unit::tokens, .plain_tokens = 100};
}

double get_bound(double per_second, const policy::quota_tolerance& tolerance) {
    return (per_second * 8 + burst) * (1 + tolerance.overage) + tolerance.slack;
}

std::vector<std::size_t> get_hosts(std::size_t first, std::size_t count) {
    std::vector<std::size_t> hosts(count);
    std::iota(hosts.begin(), hosts.end(), first);
    return hosts;
}

testing::quota_demand make_demand(double per_second, std::vector<std::size_t> hosts) {
    return {.rate = per_second, .amount = request_tokens, .hosts = std::move(hosts)};
}

} // namespace

TEST_CASE("quota: demand below the quota on all hosts, on one and then on another is never refused") {
    // Load: an organisation at half of its quota, then at nine tenths, whose callers move.
    for (const std::size_t hosts : {65, 300}) {
        CAPTURE(hosts);
        quota_simulation fleet({.hosts = hosts, .tolerance = platform_tolerance});
        fleet.set_quotas({{organisation_name("a"), make_quota(rate)}});
        fleet.run_for(1s);
        const std::vector<std::vector<std::size_t>> places{get_hosts(0, hosts), {7}, {9}, get_hosts(20, 5)};
        for (const double share : {0.5, 0.9}) {
            for (const std::vector<std::size_t>& place : places) {
                fleet.set_demand("a", make_demand(rate * share, place));
                fleet.run_for(3s);
                const quota_simulation::counts counts = fleet.take_counts("a");
                CAPTURE(share);
                CAPTURE(place.size());
                CHECK(counts.admitted > 0);
                CHECK(counts.refused == 0);
                CHECK(counts.longest_wait <= 50ms);
            }
        }
    }
}

TEST_CASE("quota: demand of six times the quota on one to five hosts uses the quota and not more") {
    // Load: an organisation that suddenly sends six times its quota.
    for (const std::size_t hosts : {65, 300}) {
        for (const std::size_t senders : {1, 3, 5}) {
            for (const policy::quota_tolerance& tolerance : {platform_tolerance, tight_tolerance}) {
                CAPTURE(hosts);
                CAPTURE(senders);
                CAPTURE(tolerance.slack);
                quota_simulation fleet({.hosts = hosts, .seed = senders, .tolerance = tolerance});
                fleet.set_quotas({{organisation_name("a"), make_quota(rate)}});
                fleet.run_for(1s);
                fleet.set_demand("a", make_demand(rate * 6, get_hosts(3, senders)));
                fleet.run_for(9s);
                fleet.take_counts("a");
                fleet.run_for(8s);
                CHECK(fleet.take_counts("a").used >= 0.95 * rate * 8);
                CHECK(fleet.take_peak("a") <= get_bound(rate, tolerance));
            }
        }
    }
}

TEST_CASE("quota: callers that wait for Retry-After find room") {
    // Load: six times the quota for eight seconds, then half of it, with callers that come back as they were told.
    quota_simulation fleet({.hosts = 65, .tolerance = platform_tolerance});
    fleet.set_quotas({{organisation_name("a"), make_quota(rate)}});
    testing::quota_demand demand = make_demand(rate / 2, get_hosts(0, 20));
    demand.repeats = true;
    fleet.set_demand("a", demand);
    fleet.run_for(3s);
    demand.rate = 6 * rate;
    fleet.set_demand("a", demand);
    fleet.run_for(8s);
    const quota_simulation::counts surge = fleet.take_counts("a");
    demand.rate = rate / 2;
    fleet.set_demand("a", demand);
    fleet.run_for(2s);
    fleet.take_counts("a");
    fleet.run_for(120s);
    const quota_simulation::counts after = fleet.take_counts("a");
    CHECK(after.repeated > surge.refused / 2);
    CHECK(static_cast<double>(after.admitted_repeats) >= 0.95 * static_cast<double>(after.repeated));
    CHECK(fleet.take_peak("a") <= get_bound(rate, platform_tolerance));
}

TEST_CASE("quota: no span of the window exceeds the bound while hosts fail") {
    // Load: six times the quota on 20 hosts, with one failure in each run.
    const auto run = [](const std::string& failure, std::size_t hosts, const policy::quota_tolerance& tolerance,
                        const std::function<void(quota_simulation&, std::size_t)>& fail,
                        const std::function<void(quota_simulation&, std::size_t)>& repair) {
        CAPTURE(failure);
        CAPTURE(hosts);
        CAPTURE(tolerance.slack);
        quota_simulation fleet({.hosts = hosts, .zones = 3, .seed = hosts, .tolerance = tolerance});
        fleet.set_quotas({{organisation_name("a"), make_quota(rate)}});
        fleet.run_for(1s);
        fleet.set_demand("a", make_demand(rate / 2, get_hosts(0, 20)));
        fleet.run_for(3s);
        fleet.set_demand("a", make_demand(rate * 6, get_hosts(0, 20)));
        fleet.run_for(2s);
        fail(fleet, hosts);
        fleet.run_for(6s);
        repair(fleet, hosts);
        fleet.run_for(9s);
        const double peak = fleet.take_peak("a");
        CHECK(peak <= get_bound(rate, tolerance));
        fleet.take_counts("a");
        fleet.run_for(4s);
        // The pool is whole again.
        CHECK(fleet.take_counts("a").used >= 0.9 * rate * 4);
    };
    const auto nothing = [](quota_simulation&, std::size_t) {};
    for (const std::size_t hosts : {65, 300}) {
        for (const policy::quota_tolerance& tolerance : {platform_tolerance, tight_tolerance}) {
            // A large fleet is slow to simulate, and a fault shows sooner without slack.
            if (hosts == 300 && tolerance == platform_tolerance) {
                continue;
            }
            run(
                "one zone cut off", hosts, tolerance, [](auto& fleet, auto) { fleet.set_cut(1, true); },
                [](auto& fleet, auto) { fleet.set_cut(1, false); });
            run(
                "all hosts restarted twice", hosts, tolerance,
                [](auto& fleet, auto count) {
                    for (std::size_t host = 0; host < count; ++host) {
                        fleet.restart(host);
                    }
                },
                [](auto& fleet, auto count) {
                    for (std::size_t host = 0; host < count; ++host) {
                        fleet.restart(host);
                    }
                });
            run(
                "owner killed", hosts, tolerance, [](auto& fleet, auto) { fleet.kill(fleet.get_owner("a")); },
                [](auto& fleet, auto) { fleet.restart(fleet.get_owner("a")); });
            run(
                "owner frozen", hosts, tolerance, [](auto& fleet, auto) { fleet.freeze(fleet.get_owner("a"), 5s); },
                nothing);
            run(
                "callers frozen", hosts, tolerance,
                [](auto& fleet, auto) {
                    for (std::size_t host = 0; host < 10; ++host) {
                        fleet.freeze(host, 3s);
                    }
                },
                nothing);
        }
    }
}

TEST_CASE("quota: datagrams that are lost, late and duplicated do not break the bound") {
    // Load: six times the quota on 20 hosts, then half of it.
    for (const std::size_t hosts : {65, 300}) {
        for (const policy::quota_tolerance& tolerance : {platform_tolerance, tight_tolerance}) {
            CAPTURE(hosts);
            CAPTURE(tolerance.slack);
            quota_simulation fleet(
                {.hosts = hosts, .seed = 3, .loss = 0.05, .late = 0.03, .duplicated = 0.03, .tolerance = tolerance});
            fleet.set_quotas({{organisation_name("a"), make_quota(rate)}});
            fleet.run_for(1s);
            fleet.set_demand("a", make_demand(rate * 6, get_hosts(0, 20)));
            fleet.run_for(10s);
            fleet.set_demand("a", make_demand(rate / 2, get_hosts(0, 20)));
            fleet.run_for(4s);
            fleet.take_counts("a");
            fleet.run_for(10s);
            const quota_simulation::counts counts = fleet.take_counts("a");
            CHECK(counts.admitted > 0);
            CHECK(fleet.take_peak("a") <= get_bound(rate, tolerance));
        }
    }
}

TEST_CASE("quota: a lower quota is binding after one window") {
    // Load: six times the quota, which is then cut to a quarter.
    quota_simulation fleet({.hosts = 65, .tolerance = tight_tolerance});
    fleet.set_quotas({{organisation_name("a"), make_quota(rate)}});
    fleet.run_for(1s);
    fleet.set_demand("a", make_demand(rate * 6, get_hosts(0, 5)));
    fleet.run_for(9s);
    fleet.set_quotas({{organisation_name("a"), make_quota(rate / 4)}});
    fleet.run_for(8s);
    fleet.take_peak("a");
    fleet.run_for(8s);
    CHECK(fleet.take_peak("a") <= get_bound(rate / 4, tight_tolerance));
}

TEST_CASE("quota: the datagrams of 300 hosts and 190 organisations are bounded") {
    // Load: 190 organisations at half of their quota on all hosts, three of them at six times.
    // An owner of one part gets at most a request every 400 ms from each host, or every 200 ms from those with demand,
    // and answers each. A host may own several parts.
    constexpr std::size_t max_datagrams = 4000;
    quota_simulation fleet({.hosts = 300, .zones = 6, .tolerance = platform_tolerance});
    policy::fleet_quotas quotas;
    for (std::size_t index = 0; index < 190; ++index) {
        quotas.emplace(organisation_name("org" + std::to_string(index)), make_quota(rate));
    }
    fleet.set_quotas(quotas);
    for (std::size_t index = 0; index < 190; ++index) {
        fleet.set_demand("org" + std::to_string(index),
                         make_demand(index < 3 ? rate * 6 : rate / 2, get_hosts(0, 300)));
    }
    fleet.run_for(4s);
    const quota_simulation::traffic traffic = fleet.get_peak_traffic();
    CHECK(traffic.sent <= max_datagrams);
    CHECK(traffic.received <= max_datagrams);
}
