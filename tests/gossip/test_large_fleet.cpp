#include <doctest/doctest.h>

#include "gossip/simulated_fleet.hpp"

using namespace dragonflywell;
using testing::simulated_fleet;
using namespace std::chrono_literals;

namespace {

/// Part of a link that the exchange between hosts may use, and what may be sent at once, as time of the link.
constexpr double link_share = 0.2;
constexpr double burst_seconds = 0.02;
/// Longest time for which a request may wait in the link of its host behind datagrams to other hosts.
constexpr duration max_request_delay = 50ms;
/// Time until a host that is in touch no longer sends a request that crashes servers, and until it knows that a server
/// leaves.
constexpr duration contact_bound = 5s;
constexpr duration drain_bound = 4s;

constexpr std::size_t dark_servers = 61;
constexpr policy::request_fingerprint harmful_request = 7;

/// Makes many servers go dark at the given time: each host loses a few requests on some of them.
void schedule_dark_servers(simulated_fleet& fleet, duration at) {
    fleet.schedule(at, [&fleet] {
        std::uint64_t request = 1;
        for (const auto& host : fleet.get_hosts()) {
            for (std::size_t number = 0; number < 10; ++number) {
                constexpr std::uint64_t spread = 0x9E3779B97F4A7C15;
                host->crash_server("dark-" + std::to_string(request % dark_servers), {++request * spread});
            }
        }
    });
}

void check_bytes(simulated_fleet& fleet) {
    for (const auto& host : fleet.get_hosts()) {
        CAPTURE(host->get_name());
        const auto link = static_cast<double>(host->get_link());
        const double most = link * (link_share + burst_seconds) + static_cast<double>(host->get_largest_datagram());
        CHECK(static_cast<double>(host->get_peak_bytes()) <= most);
    }
    CHECK(fleet.take_longest_wait() <= max_request_delay);
}

} // namespace

// Guards against GONE and DRAIN: requests waited seconds behind digests in the link of the host that led a group.
TEST_CASE("when engines go dark together, no host of a large fleet sends more than its share of its link") {
    std::size_t hosts_in_zone = 0;
    SUBCASE("300 hosts") {
        hosts_in_zone = 50;
    }
    SUBCASE("120 hosts") {
        hosts_in_zone = 20;
    }
    simulated_fleet fleet({.hosts_in_zone = hosts_in_zone});
    schedule_dark_servers(fleet, 4s);
    fleet.run_for(3s);
    const std::vector<std::string> leaders = fleet.get_leaders();
    fleet.run_for(6s);
    check_bytes(fleet);
    CHECK(fleet.get_leaders() == leaders);
    CHECK(fleet.get_lost_hosts() == 0);
}

// Guards against BUDGET: what a host may send is bounded, and other groups must learn of the request all the same.
TEST_CASE("while engines go dark together, all hosts of a large fleet learn of a request that crashes servers") {
    simulated_fleet fleet({.loss = 0.01});
    schedule_dark_servers(fleet, 4s);
    for (std::size_t number = 0; number < 3; ++number) {
        fleet.schedule(4s + number * 500ms, [&fleet, number] {
            fleet.get_hosts().at(number * 100)->crash_server("last-" + std::to_string(number), {harmful_request});
        });
    }
    fleet.run_for(5s + contact_bound);
    for (const auto& host : fleet.get_hosts()) {
        CAPTURE(host->get_name());
        CHECK(host->state.suspects.is_refused(harmful_request, host->state.get_corrected_time()));
    }
    check_bytes(fleet);
}

// Guards against DRAIN: the news that a server leaves waited behind digests in the link of the host that led the group.
TEST_CASE("while engines go dark together, all hosts of a large fleet learn in time that servers leave") {
    simulated_fleet fleet({});
    schedule_dark_servers(fleet, 4s);
    fleet.schedule(4500ms, [&fleet] {
        for (std::size_t number = 0; number < dark_servers; ++number) {
            fleet.append_record("leaving-" + std::to_string(number));
        }
    });
    fleet.run_for(4500ms + drain_bound);
    for (const auto& host : fleet.get_hosts()) {
        CAPTURE(host->get_name());
        CHECK(host->get_read_records() == dark_servers);
    }
    check_bytes(fleet);
}

// Guards against the leadership of hosts with small links.
TEST_CASE("in a large fleet, a group that has a host with a large link is led by it") {
    simulated_fleet fleet({.large_hosts_in_zone = 3});
    fleet.run_for(2s);
    std::map<std::string, std::uint64_t> largest;
    for (const auto& host : fleet.get_hosts()) {
        largest[host->get_group()] = std::max(largest[host->get_group()], host->get_link());
    }
    std::size_t leaders = 0;
    for (const auto& host : fleet.get_hosts()) {
        if (host->is_leader()) {
            CHECK(host->get_link() == largest[host->get_group()]);
            ++leaders;
        }
    }
    CHECK(leaders == largest.size());
}
