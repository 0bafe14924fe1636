#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/membership.hpp"

namespace dragonflywell::testing {

/// Daemons that gossip over a network with faults, in virtual time. The same seed gives the same run.
class gossip_network {
public:
    explicit gossip_network(std::uint64_t seed, duration interval = std::chrono::seconds(1))
        : m_random(seed), m_interval(interval) {}

    /// Starts a daemon. A port that is in use is taken over, as by a host replaced at the same address.
    void start(const std::string& host, const std::string& zone, std::uint16_t port) {
        const endpoint address{.address = "10.0.0.1", .port = port};
        const auto incarnation = static_cast<std::uint64_t>(time.now().time_since_epoch().count() / 1000);
        auto peer = std::make_unique<coordination::membership>(
            time, m_random(),
            coordination::membership_options{.self = {.host = host_name(host),
                                                      .zone = zone_name(zone),
                                                      .address = address,
                                                      .incarnation = incarnation,
                                                      .state = coordination::member_state::alive},
                                             .interval = m_interval,
                                             .ping_timeout = m_interval,
                                             .suspicion = m_interval * 5,
                                             .tombstone = m_interval * 120});
        peer->set_host_list(listed);
        daemons[host] = {.peer = std::move(peer), .next_tick = time.now() + get_random_part()};
        m_by_address[address] = host;
    }

    /// Ends a daemon without a word.
    void kill(const std::string& host) {
        const auto here = m_by_address.find(daemons.at(host).peer->get_self().address);
        if (here->second == host) {
            m_by_address.erase(here);
        }
        daemons.erase(host);
    }

    void leave(const std::string& host) {
        send(daemons.at(host).peer->get_self().address, daemons.at(host).peer->leave());
        kill(host);
    }

    void set_list(std::vector<coordination::listed_host> hosts) {
        listed = std::move(hosts);
        for (auto& [host, running] : daemons) {
            running.peer->set_host_list(listed);
        }
    }

    void run_for(duration span) {
        const steady_time end = time.now() + span;
        while (time.now() < end) {
            time.advance(m_interval / 10);
            deliver();
            for (auto& [host, running] : daemons) {
                if (time.now() >= running.next_tick && !paused.contains(host)) {
                    running.next_tick = time.now() + m_interval;
                    send(running.peer->get_self().address, running.peer->tick());
                }
            }
        }
    }

    [[nodiscard]] bool sees(const std::string& observer, const std::string& host) const {
        const coordination::member* held = daemons.at(observer).peer->find(host_name(host));
        return held != nullptr && !coordination::is_removed(held->state);
    }

    /// Returns the pairs of living daemons of one zone where the first has not the second among its members.
    [[nodiscard]] std::set<std::pair<std::string, std::string>> get_unseen() const {
        std::set<std::pair<std::string, std::string>> unseen;
        for (const auto& [observer, one] : daemons) {
            for (const auto& [host, other] : daemons) {
                const bool is_same_zone = one.peer->get_self().zone == other.peer->get_self().zone;
                if (observer != host && is_same_zone && !sees(observer, host)) {
                    unseen.emplace(observer, host);
                }
            }
        }
        return unseen;
    }

    struct running_daemon {
        std::unique_ptr<coordination::membership> peer;
        steady_time next_tick;
    };

    virtual_clock time;
    std::map<std::string, running_daemon> daemons;
    std::vector<coordination::listed_host> listed;
    std::set<std::string> paused;
    double loss{0};
    double duplication{0};
    /// A message takes up to so many intervals, so that later ones overtake it.
    double most_delay_intervals{0.2};
    /// Tells whether the way from one daemon to another is cut.
    std::function<bool(const std::string&, const std::string&)> is_cut = [](const auto&, const auto&) { return false; };
    std::uint64_t messages{0};
    std::uint64_t bytes{0};
    std::size_t largest_message{0};

private:
    struct message_on_its_way {
        std::string from;
        coordination::addressed_message content;
    };

    duration get_random_part() { return duration(static_cast<std::int64_t>(m_random() % m_interval.count())); }
    double get_random() { return static_cast<double>(m_random() >> 11) * 0x1.0p-53; }

    void send(const endpoint& from, std::vector<coordination::addressed_message> out) {
        for (coordination::addressed_message& content : out) {
            ++messages;
            const std::size_t size = coordination::get_size_bytes(content.message);
            bytes += size;
            largest_message = std::max(largest_message, size);
            const int copies = get_random() < loss ? 0 : (get_random() < duplication ? 2 : 1);
            for (int copy = 0; copy < copies; ++copy) {
                const auto delay = duration(static_cast<std::int64_t>(get_random() * most_delay_intervals *
                                                                      static_cast<double>(m_interval.count())));
                m_on_their_way.emplace(time.now() + delay,
                                       message_on_its_way{.from = m_by_address.at(from), .content = content});
            }
        }
    }

    void deliver() {
        while (!m_on_their_way.empty() && m_on_their_way.begin()->first <= time.now()) {
            const message_on_its_way next = m_on_their_way.begin()->second;
            m_on_their_way.erase(m_on_their_way.begin());
            const auto found = m_by_address.find(next.content.to);
            if (found == m_by_address.end() || is_cut(next.from, found->second) || paused.contains(found->second)) {
                continue;
            }
            coordination::membership& peer = *daemons.at(found->second).peer;
            send(next.content.to, peer.receive(next.content.message));
        }
    }

    std::mt19937_64 m_random;
    duration m_interval;
    std::multimap<steady_time, message_on_its_way> m_on_their_way;
    std::map<endpoint, std::string> m_by_address;
};

} // namespace dragonflywell::testing
