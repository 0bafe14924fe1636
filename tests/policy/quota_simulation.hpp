#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "policy/quota_node.hpp"
#include "policy/server_limit_report.hpp"

namespace dragonflywell::testing {

struct quota_simulation_options {
    std::size_t hosts{65};
    std::size_t zones{3};
    std::uint64_t seed{1};
    /// Shares of the datagrams that are lost, late by up to 1.5 s, and duplicated.
    double loss{0};
    double late{0};
    double duplicated{0};
    policy::quota_tolerance tolerance{.window = std::chrono::seconds(8), .overage = 0.1, .slack = 190'000};
};

/// What the callers of an organisation send.
struct quota_demand {
    /// Amount per second over all hosts.
    double rate{};
    double amount{1};
    /// Hosts that get it, in equal parts.
    std::vector<std::size_t> hosts;
    /// Whether callers come back after the time in Retry-After, each to a random one of the hosts.
    bool repeats{false};
};

/// The quotas of a fleet in virtual time, with the code that the daemon runs. Hosts have clocks of their own; datagrams
/// take 0.5 to 1 ms between zones. Not thread safe.
class quota_simulation {
public:
    explicit quota_simulation(quota_simulation_options options);
    quota_simulation(const quota_simulation&) = delete;
    quota_simulation& operator=(const quota_simulation&) = delete;
    quota_simulation(quota_simulation&&) = delete;
    quota_simulation& operator=(quota_simulation&&) = delete;
    virtual ~quota_simulation() = default;

    void set_quotas(const policy::fleet_quotas& quotas);
    void set_demand(const std::string& organisation, quota_demand demand) {
        m_demands[organisation_name(organisation)] = std::move(demand);
    }
    void run_for(duration length);

    /// Ends the process of a host. `restart` begins a new one, which has lost everything.
    void kill(std::size_t host);
    void restart(std::size_t host);
    /// Stops a host until the given time; its datagrams wait.
    void freeze(std::size_t host, duration length);
    /// Separates a zone from the others, or connects it again.
    void set_cut(std::size_t zone, bool is_cut);
    [[nodiscard]] std::size_t get_owner(const std::string& subject) const;

    struct counts {
        double used{};
        std::size_t admitted{};
        std::size_t refused{};
        /// Requests that were sent after the time in Retry-After, and those of them that were admitted.
        std::size_t repeated{};
        std::size_t admitted_repeats{};
        duration longest_wait{};
    };
    /// Returns the counts of an organisation since the last call.
    counts take_counts(const std::string& organisation);
    /// Returns the largest usage in any span of the window that ended since the last call.
    double take_peak(const std::string& organisation);

    struct traffic {
        std::size_t sent{};
        std::size_t received{};
    };
    /// Returns the most requests and grants that a host sent and received in a second since the start.
    [[nodiscard]] traffic get_peak_traffic() const noexcept { return m_peak_traffic; }
    /// Returns how many requests and grants all hosts have sent since the start.
    [[nodiscard]] std::size_t get_total_sent() const noexcept { return m_total_sent; }

protected:
    using limit_reports = std::vector<policy::server_limit_report>;
    using message = std::variant<policy::quota_request, policy::quota_grant, limit_reports>;

    /// Called each millisecond before hosts send.
    virtual void act() {}
    /// Called when a host has restarted.
    virtual void begin_process(std::size_t /*host*/) {}
    virtual void apply_reports(std::size_t /*host*/, const limit_reports& /*reports*/, duration /*held_for*/) {}
    virtual void settle(std::size_t /*host*/, const policy::quota_decision& /*decision*/) {}

    void send(std::size_t sender, std::size_t receiver, message content);
    [[nodiscard]] const quota_simulation_options& get_options() const noexcept { return m_options; }
    [[nodiscard]] std::int64_t get_tick() const noexcept { return m_tick; }
    [[nodiscard]] steady_time now(std::size_t host) const { return now(m_hosts[host]); }
    [[nodiscard]] policy::quota_node& get_node(std::size_t host) { return *m_hosts[host].node; }
    [[nodiscard]] bool is_running(std::size_t host) const { return m_hosts[host].node != nullptr; }
    [[nodiscard]] std::int64_t get_frozen_until(std::size_t host) const { return m_hosts[host].frozen_until; }
    [[nodiscard]] std::uint64_t get_incarnation(std::size_t host) const { return m_hosts[host].incarnation; }
    void set_due(std::size_t host) { m_hosts[host].is_due = true; }
    [[nodiscard]] std::size_t get_zone(std::size_t host) const { return host % m_options.zones; }
    [[nodiscard]] bool are_cut(std::size_t from_zone, std::size_t to_zone) const {
        return from_zone != to_zone && (m_cut_zones.contains(from_zone) || m_cut_zones.contains(to_zone));
    }
    [[nodiscard]] std::size_t draw(std::size_t count) { return m_random() % count; }
    [[nodiscard]] std::size_t draw_arrivals(double expected) {
        return std::poisson_distribution<std::size_t>(expected)(m_random);
    }

private:
    struct held_message {
        std::int64_t tick{};
        std::shared_ptr<const message> content;
    };

    struct datagram {
        std::int64_t tick{};
        std::uint64_t number{};
        std::size_t receiver{};
        std::shared_ptr<const message> content;

        bool operator>(const datagram& other) const noexcept {
            return std::tie(tick, number) > std::tie(other.tick, other.number);
        }
    };

    struct simulated_host {
        std::unique_ptr<policy::quota_node> node;
        std::uint64_t incarnation{1};
        duration clock_offset{};
        std::int64_t frozen_until{0};
        bool is_due{false};
        traffic second;
        std::deque<held_message> held;
    };

    struct caller {
        organisation_name organisation;
        double amount{};
        std::int64_t sent_at{};
        bool is_repeat{false};
    };

    struct repeat {
        std::int64_t tick{};
        organisation_name organisation;
        bool operator>(const repeat& other) const noexcept { return tick > other.tick; }
    };

    struct organisation_state {
        counts count;
        std::deque<double> window;
        double window_sum{};
        double tick_used{};
        double peak{};
        double backlog{};
    };

    [[nodiscard]] steady_time now(const simulated_host& host) const;
    void start(std::size_t host, bool is_first);
    void tick();
    void deliver(std::size_t receiver, const held_message& arrived);
    void pump(std::size_t host);
    void arrive(std::size_t host, caller from);
    void finish(const caller& from, const policy::quota_decision& decision);
    void record(organisation_state& state) const;
    [[nodiscard]] double draw_unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    quota_simulation_options m_options;
    std::mt19937_64 m_random;
    std::int64_t m_tick{0};
    std::uint64_t m_number{0};
    std::vector<simulated_host> m_hosts;
    std::vector<policy::owner_candidate> m_list;
    policy::fleet_quotas m_quotas;
    std::set<std::size_t> m_cut_zones;
    std::map<organisation_name, quota_demand> m_demands;
    std::map<organisation_name, organisation_state> m_organisations;
    std::priority_queue<datagram, std::vector<datagram>, std::greater<>> m_datagrams;
    std::priority_queue<repeat, std::vector<repeat>, std::greater<>> m_repeats;
    std::map<std::pair<std::size_t, std::uint64_t>, caller> m_waiting;
    traffic m_peak_traffic;
    std::size_t m_total_sent{0};
};

} // namespace dragonflywell::testing
