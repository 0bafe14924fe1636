#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "daemon/server_list.hpp"

namespace dragonflywell::testing {

/// What happens to one message of a run.
enum class message_fault : std::uint8_t {
    none,
    lost,
    /// It arrives after a time that is a large part of the bound.
    late,
    /// An answer of the store is of a state before the one that the host knows.
    stale,
};

struct list_simulation_options {
    duration bound{std::chrono::seconds(2)};
    std::size_t hosts{4};
    std::uint64_t seed{1};
    message_fault fault{message_fault::none};
    /// Number of the message that the fault concerns: answers of the store, relayed pages and digests count together.
    std::uint64_t faulty_message{0};
    /// Longest time that a relayed page waits in the link of the leader.
    duration relay_time{std::chrono::milliseconds(2)};
    /// When the leader stops to send and to read; never if absent.
    std::optional<duration> leader_stops_at;
    /// When the store stops to answer the last host; never if absent.
    std::optional<duration> last_host_cut_off_at;
};

struct list_simulation_result {
    std::uint64_t messages{0};
    /// Longest time after a server's notice at which a host would have sent it work.
    duration longest_use{};
    /// Highest age of the list on any host after the start.
    duration highest_age{};
    std::uint64_t store_calls{0};
};

/// The list of servers on the hosts of one group, in virtual time: the leader reads the store and relays, the others
/// hear it. Servers renew their entries, and leave one after the other. One message of the run may be lost, late or
/// stale.
class list_simulation {
public:
    explicit list_simulation(list_simulation_options options);
    list_simulation(const list_simulation&) = delete;
    list_simulation& operator=(const list_simulation&) = delete;
    list_simulation(list_simulation&&) = delete;
    list_simulation& operator=(list_simulation&&) = delete;
    ~list_simulation();

    [[nodiscard]] list_simulation_result run();

private:
    class host;

    struct event {
        steady_time at;
        std::uint64_t number{};
        std::function<void()> action;

        bool operator>(const event& other) const noexcept {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    struct stored_record {
        platform::keyed_record record;
        steady_time at;
    };

    void post(duration delay, std::function<void()> action);
    /// Delivers a message, unless the fault concerns it and loses it.
    void send(duration delay, std::function<void()> action);
    /// Returns whether the fault makes the next message stale.
    [[nodiscard]] bool is_next_stale() const;
    [[nodiscard]] duration draw(duration longest);
    void append(const std::string& server, bool is_draining);
    void renew(std::size_t server);
    /// Returns the records from an offset on, as the store had them at a time.
    [[nodiscard]] platform::store_page read(std::uint64_t from, steady_time at) const;
    [[nodiscard]] platform::store_page list(steady_time at) const;
    void observe();
    [[nodiscard]] bool has_leader_stopped() const { return has_passed(m_options.leader_stops_at); }
    [[nodiscard]] bool has_passed(const std::optional<duration>& moment) const {
        return moment && m_clock.now() - m_started_at >= *moment;
    }

    list_simulation_options m_options;
    std::mt19937_64 m_random;
    virtual_clock m_clock;
    steady_time m_started_at;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_event_number{0};
    std::vector<stored_record> m_store;
    /// When each server gave its notice; nothing before.
    std::vector<std::optional<steady_time>> m_notices;
    std::vector<std::unique_ptr<host>> m_hosts;
    list_simulation_result m_result;
};

} // namespace dragonflywell::testing
