#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "policy/quota_node.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Longest wait of a request for the decision of another host.
inline constexpr duration max_quota_wait = std::chrono::milliseconds(100);

/// What is counted of quotas. The metrics outlive their user.
struct shared_quota_metrics {
    /// What this host granted and booked as owner.
    counter* grants{};
    counter* bookings{};
    /// Number of subjects of which nothing is left.
    gauge* exhausted{};
};

/// Quotas that all hosts share, on one event loop: requests that wait for a decision, and the messages to other hosts,
/// which the daemon exchanges. Its users add what the quotas are for. Not thread safe.
class shared_quotas {
public:
    shared_quotas(const shared_quotas&) = delete;
    shared_quotas& operator=(const shared_quotas&) = delete;
    shared_quotas(shared_quotas&&) = delete;
    shared_quotas& operator=(shared_quotas&&) = delete;

    /// Sets the hosts in the store's list, this one included.
    void set_hosts(const std::vector<policy::owner_candidate>& hosts);
    [[nodiscard]] bool has_quotas() const noexcept { return m_node.has_limits(); }
    /// Returns the requests to other hosts that are due, and ends the waiting of requests that were decided on.
    [[nodiscard]] std::vector<policy::outgoing_quota_request> poll();
    /// Returns when `poll` is to be called next, by the clock that counts suspension.
    [[nodiscard]] steady_time get_next_poll() const { return m_node.get_next_poll(get_time()); }
    /// Applies the request of another host and returns the answer.
    [[nodiscard]] std::optional<policy::quota_grant> apply(const policy::quota_request& request);
    void apply(const policy::quota_grant& grant);

    /// Called when `poll` has something to do before the time that was returned last; may be empty.
    std::function<void()> on_change;

protected:
    /// Precondition: the clock outlives the object.
    shared_quotas(asio::any_io_executor executor, const clock_source& time, policy::quota_node_options options,
                  shared_quota_metrics metrics);
    ~shared_quotas() = default;

    struct result {
        policy::quota_decision decision;
        bool has_waited{false};
    };
    /// Decides on a request, and waits for other hosts if this one has too little. The answer is never `waiting`.
    asio::awaitable<result> decide(quota_subject subject, double amount, duration time_left);

    /// Whoever changes the limits calls `notify_change`.
    [[nodiscard]] policy::quota_node& get_node() noexcept { return m_node; }
    [[nodiscard]] const policy::quota_node& get_node() const noexcept { return m_node; }
    /// Returns the time by the clock that counts suspension, as the node uses it.
    [[nodiscard]] steady_time get_time() const { return m_time->now_with_suspension(); }
    void notify_change() const {
        if (on_change) {
            on_change();
        }
    }
    void count_exhausted();

private:
    struct waiting_request {
        explicit waiting_request(const asio::any_io_executor& executor) : timer(executor) {}

        asio::steady_timer timer;
        std::optional<policy::quota_decision> decision;
    };

    asio::any_io_executor m_executor;
    const clock_source* m_time;
    policy::quota_node m_node;
    shared_quota_metrics m_metrics;
    std::map<std::uint64_t, std::shared_ptr<waiting_request>> m_waiting;
};

} // namespace dragonflywell::servers
