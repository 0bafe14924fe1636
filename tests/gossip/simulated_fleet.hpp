#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "gossip/datagram_queue.hpp"
#include "gossip/digest_builder.hpp"
#include "gossip/digest_sender.hpp"
#include "gossip/membership.hpp"
#include "gossip/relayed_records.hpp"
#include "platform/engine_codec.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::testing {

struct simulated_fleet_options {
    std::size_t zones{6};
    std::size_t hosts_in_zone{50};
    /// Hosts with a large link in each zone, the last ones by name.
    std::size_t large_hosts_in_zone{0};
    std::uint64_t seed{1};
    /// Share of the datagrams that are lost.
    double loss{0};
};

constexpr std::uint64_t small_link = 2'500'000;
constexpr std::uint64_t large_link = 25'000'000;

/// The exchange between all hosts of a fleet in virtual time, with the code that the daemon runs: who leads a group,
/// which digests are built, and when their datagrams are sent. Each host has a link of limited bandwidth in both
/// directions; datagrams wait for it in order. Not thread safe.
class simulated_fleet {
public:
    explicit simulated_fleet(simulated_fleet_options options);

    class host;

    /// Runs the fleet for a time.
    void run_for(duration length);
    /// Calls an action at a time from the start of the fleet.
    void schedule(duration at, std::function<void()> action);

    [[nodiscard]] std::vector<std::unique_ptr<host>>& get_hosts() noexcept { return m_hosts; }
    [[nodiscard]] std::vector<std::string> get_leaders() const;
    /// Returns the longest time for which a datagram waited for the link of its sender since the last call.
    [[nodiscard]] duration take_longest_wait();
    /// Returns how often a host was taken for lost.
    [[nodiscard]] std::size_t get_lost_hosts() const noexcept { return m_lost; }
    [[nodiscard]] duration get_time() const { return m_clock.now() - m_started_at; }

    /// Adds a record to the server list in the store.
    void append_record(const std::string& server);

private:
    friend class host;

    struct event {
        steady_time at;
        std::uint64_t number{};
        std::function<void()> action;

        bool operator>(const event& other) const noexcept {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void post(steady_time at, std::function<void()> action);
    [[nodiscard]] duration draw(duration longest);

    simulated_fleet_options m_options;
    std::mt19937_64 m_random;
    virtual_clock m_clock;
    steady_time m_started_at;
    servers::backend_connection_pool m_connections{m_clock, {}};
    platform::engine_codec m_codec;
    boost::asio::io_context m_loop;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_event_number{0};
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<platform::keyed_record> m_store;
    duration m_longest_wait{};
    std::size_t m_lost{0};
};

/// One host of the fleet.
class simulated_fleet::host final : public gossip::digest_source, public gossip::datagram_transport {
public:
    host(simulated_fleet& fleet, std::size_t index, std::string name, zone_name zone, std::uint64_t link);

    void start(const std::vector<std::unique_ptr<host>>& all);

    [[nodiscard]] gossip::digest_facts get_digest_facts() const override;
    bool send(std::string_view text, const boost::asio::ip::udp::endpoint& receiver) override;

    /// Simulates that a server crashed with requests of this host, each with two prompt parts.
    void crash_server(const std::string& server, const std::vector<policy::request_fingerprint>& requests);

    [[nodiscard]] const std::string& get_name() const noexcept { return m_name; }
    [[nodiscard]] std::uint64_t get_link() const noexcept { return m_link; }
    [[nodiscard]] bool is_leader() const;
    /// Returns the most bytes that were sent in any second.
    [[nodiscard]] std::uint64_t get_peak_bytes();
    [[nodiscard]] std::size_t get_largest_datagram() const noexcept { return m_largest; }
    /// Returns how many records of the server list the host has read or received.
    [[nodiscard]] std::uint64_t get_read_records() const noexcept { return m_read_records; }
    [[nodiscard]] const std::string& get_group() const noexcept { return m_group; }

    metrics_registry metrics;
    servers::serving_state state;

private:
    void receive(std::string_view text);
    void receive_records(const gossip::relayed_records& relayed);
    void heartbeat();
    void change_load();
    void read_store();
    void run();

    simulated_fleet* m_fleet;
    std::size_t m_index;
    std::string m_name;
    zone_name m_zone;
    std::uint64_t m_link;
    std::string m_group;
    gossip::membership m_members;
    gossip::datagram_queue m_queue;
    gossip::digest_builder m_builder;
    gossip::digest_sender m_digests;
    steady_time m_sending_until{};
    steady_time m_receiving_until{};
    std::optional<steady_time> m_run_at;
    std::size_t m_largest{0};
    std::uint64_t m_read_records{0};
};

} // namespace dragonflywell::testing
