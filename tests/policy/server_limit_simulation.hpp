#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "policy/server_limit_table.hpp"
#include "quota_simulation.hpp"

namespace dragonflywell::testing {

struct server_limit_simulation_options {
    quota_simulation_options fleet;
    std::size_t servers{1};
    /// Time after the first naming from which the rule applies.
    duration contact{std::chrono::seconds(3)};
    /// Whether hosts tell others of limits.
    bool sends_reports{true};
    /// Hosts that get no requests.
    std::set<std::size_t> idle;
    /// Part of the responses that take up to 1.5 s from the server to the host.
    double late_responses{0};
    /// Part of the requests that reach the server up to a second after they were admitted.
    double late_requests{0};
};

/// Servers that name limits in their responses, and hosts that choose among them with the code that the daemon runs.
/// A request takes 1 to 20 ms to a server, which answers 20 to 400 ms later; the response takes 1 to 20 ms. Reports go
/// to the group of a host (25 hosts of a zone at most) when something has changed, and to others from its first host
/// each second.
///
/// Hosts count for the rule 0.5 s after they knew of the limit from a response or a report; the rule itself counts only
/// those that have passed on a response with it. A limit that falls binds the hosts that were told of the smaller
/// value. It binds all others in spans that begin 0.5 s after the fall or later; in earlier ones the larger value does.
class server_limit_simulation final : public quota_simulation {
public:
    explicit server_limit_simulation(server_limit_simulation_options options);

    /// From now on the server names this limit, or none. The rule begins anew when it names one again.
    void set_limit(std::size_t server, std::optional<double> limit);
    /// Requests per second over all hosts, each for any server.
    void set_demand(double per_second) { m_demand = per_second; }

    /// Returns by how many requests the worst span of 4 s since the last call was above what the rule allows; negative
    /// if none was above.
    double take_worst_excess();
    struct request_counts {
        std::size_t served{};
        std::size_t refused{};
    };
    /// Returns the counts since the last call.
    request_counts take_request_counts();
    /// Returns how many running hosts believe that the server has a limit.
    [[nodiscard]] std::size_t count_limiting_hosts(std::size_t server) const;
    [[nodiscard]] static std::string get_server_name(std::size_t server) { return "server" + std::to_string(server); }

protected:
    void act() override;
    void begin_process(std::size_t host) override;
    void apply_reports(std::size_t host, const limit_reports& reports, duration held_for) override;
    void settle(std::size_t host, const policy::quota_decision& decision) override;

private:
    enum class event_kind : std::uint8_t { arrival, answer, response };

    /// A request that arrives at a server, its answer there, or its response at the host.
    struct event {
        std::int64_t tick{};
        std::uint64_t number{};
        event_kind kind{event_kind::arrival};
        std::size_t host{};
        std::uint64_t incarnation{};
        std::size_t server{};
        std::int64_t sent_at{};
        std::optional<double> limit{std::nullopt};

        bool operator>(const event& other) const noexcept {
            return std::tie(tick, number) > std::tie(other.tick, other.number);
        }
    };

    struct waiting_request {
        std::size_t server{};
        std::vector<std::size_t> tried;
    };

    struct simulated_server {
        backend_server_name name;
        quota_subject subject;
        std::optional<double> limit{std::nullopt};
        std::optional<std::int64_t> first_named_at{std::nullopt};
        /// Limits that it named before, and until when.
        std::deque<std::pair<double, std::int64_t>> earlier;
        /// Arrivals of the last 4 s from hosts that were told of a limit, and from those that were told of this one.
        std::deque<std::int64_t> of_told;
        std::deque<std::int64_t> of_told_this;
    };

    struct limited_host {
        std::unique_ptr<policy::server_limit_table> table;
        /// When the host knew first of each limit of a server, from a response or a report.
        std::map<std::size_t, std::map<double, std::int64_t>> told_at;
        std::map<std::uint64_t, waiting_request> waiting;
        bool has_news{false};
    };

    void place(std::size_t host, std::vector<std::size_t> tried);
    void open(std::size_t host, std::size_t server);
    void push(event next, std::size_t min_delay, std::size_t max_delay);
    [[nodiscard]] bool draw_late(double part) { return static_cast<double>(draw(1000)) < part * 1000; }
    void arrive(const event& request);
    void answer(const event& request);
    void respond(const event& response);
    void update_limits(std::size_t host);
    void send_reports(std::size_t host);
    /// Returns whether the host was told of a limit that is not above this one, early enough to count.
    [[nodiscard]] bool was_told(const limited_host& host, std::size_t server, double limit) const;
    void judge(simulated_server& server);
    [[nodiscard]] std::pair<std::size_t, std::size_t> get_group(std::size_t host) const;
    [[nodiscard]] bool leads_group(std::size_t host) const;

    server_limit_simulation_options m_options;
    double m_demand{0};
    std::uint64_t m_number{0};
    std::vector<simulated_server> m_servers;
    std::vector<limited_host> m_limited;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    double m_worst_excess{-1e9};
    request_counts m_counts;
};

} // namespace dragonflywell::testing
