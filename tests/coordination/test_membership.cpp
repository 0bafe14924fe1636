#include <doctest/doctest.h>

#include "coordination/membership.hpp"
#include "coordination/membership_neighbours.hpp"
#include "support/gossip_network.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;
using dragonflywell::testing::gossip_network;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr std::uint16_t first_port = 1000;
// Ping, indirect ping and suspicion take 7 intervals; the rest is for the news to spread.
constexpr seconds removal_bound{20};

std::vector<listed_host> make_list(std::uint16_t count, const std::string& zone, std::uint16_t first = first_port) {
    std::vector<listed_host> listed;
    for (std::uint16_t index = 0; index < count; ++index) {
        listed.push_back({.address = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(first + index)},
                          .zone = zone_name(zone)});
    }
    return listed;
}

void start_zone(gossip_network& network, const std::string& zone, std::uint16_t count, std::uint16_t first) {
    for (std::uint16_t index = 0; index < count; ++index) {
        network.start(zone + std::to_string(index), zone, static_cast<std::uint16_t>(first + index));
    }
}

std::size_t count_observers(const gossip_network& network, const std::string& host) {
    std::size_t count = 0;
    for (const auto& [observer, running] : network.daemons) {
        count += observer != host && network.sees(observer, host) ? 1 : 0;
    }
    return count;
}

/// Starts a zone of daemons and lets them find each other.
void form_zone(gossip_network& network, std::uint16_t count) {
    network.set_list(make_list(count, "a"));
    start_zone(network, "a", count, first_port);
    network.run_for(seconds(30));
}

} // namespace

TEST_CASE("daemons of a zone find each other from the host list") {
    gossip_network network(1);
    form_zone(network, 12);
    CHECK(network.get_unseen().empty());
}

TEST_CASE("each daemon has a neighbour that watches it") {
    std::vector<host_name> hosts;
    for (int index = 0; index < 40; ++index) {
        hosts.emplace_back("h" + std::to_string(index));
    }
    std::set<host_name> watched;
    for (const host_name& host : hosts) {
        std::vector<host_name> others = hosts;
        std::erase(others, host);
        for (const host_name& neighbour : choose_neighbours(host, others, 2)) {
            watched.insert(neighbour);
        }
    }
    CHECK(watched.size() == hosts.size());
}

TEST_CASE("a killed daemon is removed everywhere and stays removed while the list still shows it") {
    gossip_network network(2);
    form_zone(network, 12);
    network.kill("a3");
    network.run_for(removal_bound);
    CHECK(count_observers(network, "a3") == 0);
    network.run_for(seconds(600));
    CHECK(count_observers(network, "a3") == 0);
    CHECK(network.get_unseen().empty());
}

TEST_CASE("a daemon that the list does not show yet is found by its own pings, and is not removed by the list") {
    gossip_network network(3);
    form_zone(network, 6);
    network.start("new", "a", first_port + 50);
    network.run_for(seconds(30));
    CHECK(count_observers(network, "new") == 6);
    network.set_list({});
    network.run_for(seconds(300));
    CHECK(network.get_unseen().empty());
}

TEST_CASE("a daemon that leaves is removed without a suspicion") {
    gossip_network network(4);
    form_zone(network, 12);
    network.leave("a5");
    network.run_for(seconds(5));
    CHECK(count_observers(network, "a5") == 0);
    CHECK(network.daemons.at("a1").peer->find(host_name("a5"))->state == member_state::left);
}

TEST_CASE("lost, late, doubled and reordered messages remove nobody for long") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        gossip_network network(seed);
        form_zone(network, 12);
        network.loss = 0.1;
        network.duplication = 0.2;
        network.most_delay_intervals = 1.5;
        network.run_for(seconds(600));
        network.loss = 0;
        network.run_for(removal_bound);
        CHECK(network.get_unseen().empty());
        network.kill("a7");
        network.run_for(removal_bound);
        CHECK(count_observers(network, "a7") == 0);
    }
}

TEST_CASE("a paused daemon is removed, accuses nobody on waking and refutes its removal") {
    gossip_network network(6);
    form_zone(network, 12);
    const std::uint64_t before = network.daemons.at("a2").peer->get_self().incarnation;
    network.paused.insert("a2");
    network.run_for(seconds(60));
    CHECK(count_observers(network, "a2") == 0);
    network.paused.clear();
    network.run_for(removal_bound);
    CHECK(network.get_unseen().empty());
    CHECK(network.daemons.at("a2").peer->get_self().incarnation > before);
    for (const member& seen : network.daemons.at("a2").peer->get_zone_members()) {
        CHECK(seen.state == member_state::alive);
    }
}

TEST_CASE("a cut in one direction between two daemons removes neither") {
    gossip_network network(7);
    form_zone(network, 12);
    network.is_cut = [](const std::string& from, const std::string& to) { return from == "a1" && to == "a4"; };
    for (int round = 0; round < 60; ++round) {
        network.run_for(seconds(5));
        CHECK(network.sees("a1", "a4"));
        CHECK(network.sees("a4", "a1"));
    }
}

TEST_CASE("half a zone that was cut off comes together again") {
    gossip_network network(8);
    form_zone(network, 12);
    const auto is_first_half = [](const std::string& host) { return host <= "a3"; };
    network.is_cut = [&](const std::string& from, const std::string& to) {
        return is_first_half(from) != is_first_half(to);
    };
    network.run_for(seconds(400));
    CHECK_FALSE(network.sees("a0", "a9"));
    network.is_cut = [](const auto&, const auto&) { return false; };
    network.run_for(seconds(120));
    CHECK(network.get_unseen().empty());
}

TEST_CASE("a zone that was cut off keeps its members and is linked again after it is healed") {
    gossip_network network(9);
    std::vector<listed_host> listed = make_list(6, "a");
    const std::vector<listed_host> others = make_list(6, "b", first_port + 100);
    listed.insert(listed.end(), others.begin(), others.end());
    network.set_list(listed);
    start_zone(network, "a", 6, first_port);
    start_zone(network, "b", 6, first_port + 100);
    network.run_for(seconds(60));
    CHECK_FALSE(network.daemons.at("a0").peer->get_links().empty());
    network.is_cut = [](const std::string& from, const std::string& to) { return from[0] != to[0]; };
    network.run_for(seconds(300));
    CHECK(network.get_unseen().empty());
    CHECK(network.daemons.at("a0").peer->get_links().empty());
    network.is_cut = [](const auto&, const auto&) { return false; };
    network.run_for(seconds(60));
    for (const auto& [host, running] : network.daemons) {
        CHECK_FALSE(running.peer->get_links().empty());
    }
}

TEST_CASE("an item of fleet scope crosses zones, one of zone scope does not") {
    gossip_network network(10);
    std::vector<listed_host> listed = make_list(4, "a");
    const std::vector<listed_host> others = make_list(4, "b", first_port + 100);
    listed.insert(listed.end(), others.begin(), others.end());
    network.set_list(listed);
    start_zone(network, "a", 4, first_port);
    start_zone(network, "b", 4, first_port + 100);
    network.run_for(seconds(60));
    membership& publisher = *network.daemons.at("a0").peer;
    publisher.publish(item_kind::log_freshness, "", item_scope::fleet, "41");
    publisher.publish(item_kind::load, "", item_scope::zone, "7");
    network.run_for(seconds(1));
    publisher.publish(item_kind::log_freshness, "", item_scope::fleet, "42");
    network.run_for(seconds(30));
    for (const auto& [host, running] : network.daemons) {
        const auto freshness = running.peer->get_items().get_by_kind(item_kind::log_freshness);
        REQUIRE(freshness.size() == 1);
        CHECK(freshness.front().value == "42");
        CHECK(running.peer->get_items().get_by_kind(item_kind::load).size() == (host[0] == 'a' ? 1 : 0));
    }
}

TEST_CASE("a host replaced at the same address takes its predecessor's place") {
    gossip_network network(11);
    form_zone(network, 12);
    network.kill("a6");
    network.start("replacement", "a", first_port + 6);
    network.run_for(removal_bound);
    CHECK(count_observers(network, "a6") == 0);
    CHECK(count_observers(network, "replacement") == 11);
    network.run_for(seconds(300));
    CHECK(network.get_unseen().empty());
}

TEST_CASE("a host restarted with a clock that ran backwards is seen again and its new items count") {
    gossip_network network(12);
    form_zone(network, 8);
    member ahead = network.daemons.at("a2").peer->get_self();
    ahead.incarnation += 1000000000000U;
    gossip_message rumour{.kind = gossip_kind::delta,
                          .sender = network.daemons.at("a1").peer->get_self(),
                          .subject = {},
                          .origin = {},
                          .members = {ahead},
                          .items = {{.key = {.owner = ahead.host, .kind = item_kind::load, .subject = {}},
                                     .scope = item_scope::zone,
                                     .version = UINT64_MAX / 2,
                                     .value = "old"}},
                          .digest = {}};
    static_cast<void>(network.daemons.at("a3").peer->receive(rumour));
    network.daemons.at("a2").peer->publish(item_kind::load, "", item_scope::zone, "new");
    network.run_for(seconds(30));
    CHECK(network.get_unseen().empty());
    for (const auto& [host, running] : network.daemons) {
        const gossip_item* held =
            running.peer->get_items().find({.owner = ahead.host, .kind = item_kind::load, .subject = {}});
        REQUIRE(held != nullptr);
        CHECK(held->value == "new");
    }
}

TEST_CASE("messages and state stay bounded when a daemon publishes without end") {
    gossip_network network(13);
    form_zone(network, 8);
    for (int index = 0; index < 20000; ++index) {
        network.daemons.at("a0").peer->publish(item_kind::suspect_request, std::to_string(index), item_scope::zone,
                                               std::string(500, 'x'));
    }
    network.run_for(seconds(30));
    CHECK(network.largest_message <= membership_options{}.most_message_bytes);
    CHECK(network.daemons.at("a0").peer->get_items().size() <= gossip_item_table_options{}.most_items);
    CHECK(network.get_unseen().empty());
}

TEST_CASE("an ordinary day of 23 failures and 110 replacements has no false removal that lasts") {
    constexpr seconds interval{10};
    constexpr int failures = 23;
    constexpr int replacements = 110;
    constexpr std::uint16_t hosts = 12;
    gossip_network network(14, interval);
    network.set_list(make_list(hosts, "a"));
    start_zone(network, "a", hosts, first_port);
    network.loss = 0.02;
    network.duplication = 0.02;
    network.most_delay_intervals = 1.2;
    std::mt19937_64 random(15);
    std::map<std::pair<std::string, std::string>, int> rounds_unseen;
    int generation = 0;
    const int events = failures + replacements;
    for (int event = 0; event < events; ++event) {
        const std::uint16_t port = first_port + random() % hosts;
        std::string victim;
        for (const auto& [host, running] : network.daemons) {
            if (running.peer->get_self().address.port == port) {
                victim = host;
            }
        }
        // A failed host says nothing and its successor comes a while later; a replaced one leaves first.
        if (event % (events / failures) == 0) {
            network.kill(victim);
            network.run_for(seconds(120));
        } else {
            network.leave(victim);
        }
        network.start("g" + std::to_string(++generation), "a", port);
        const duration rest = duration(hours(24)) / events;
        for (duration passed{}; passed < rest; passed += interval * 10) {
            network.run_for(interval * 10);
            const auto unseen = network.get_unseen();
            std::erase_if(rounds_unseen, [&](const auto& item) { return !unseen.contains(item.first); });
            for (const auto& pair : unseen) {
                CHECK(++rounds_unseen[pair] < 3);
            }
        }
        CHECK(count_observers(network, victim) == 0);
    }
    CHECK(network.get_unseen().empty());
}

TEST_CASE("a change of configuration overtakes load figures that fill the messages") {
    gossip_network network(16);
    form_zone(network, 40);
    for (int second = 0; second < 30; ++second) {
        for (const auto& [host, running] : network.daemons) {
            running.peer->publish(item_kind::load, "", item_scope::zone, std::string(100, 'l'));
        }
        network.run_for(seconds(1));
    }
    network.daemons.at("a0").peer->publish_shared(item_kind::configuration_version, "", 1, "1");
    // Four of the thirteen seconds that a change may take.
    network.run_for(seconds(4));
    for (const auto& [host, running] : network.daemons) {
        CAPTURE(host);
        CHECK(running.peer->get_items().get_by_kind(item_kind::configuration_version).size() == 1);
    }
}

TEST_CASE("zones come together from a few seeds whose zones nobody tells") {
    constexpr std::uint16_t zones = 8;
    constexpr std::uint16_t daemons = 296;
    constexpr std::size_t pairs = daemons * (daemons / zones - 1);
    gossip_network network(17);
    network.set_list(make_list(2 * zones, ""));
    for (std::uint16_t index = 0; index < daemons; ++index) {
        const std::string zone(1, static_cast<char>('a' + index % zones));
        network.start(zone + std::to_string(index), zone, static_cast<std::uint16_t>(first_port + index));
    }
    // Within the time that a change may take, 99 in 100 pairs know each other, and all soon after.
    network.run_for(seconds(13));
    CHECK(network.get_unseen().size() * 100 <= pairs);
    network.run_for(seconds(17));
    CHECK(network.get_unseen().empty());
}
