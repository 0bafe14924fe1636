#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/quota.hpp"
#include "policy/owner_order.hpp"
#include "policy/quota_account.hpp"
#include "policy/quota_pool.hpp"
#include "policy/recent_maximum.hpp"

namespace dragonflywell::policy {

using fleet_quotas = std::map<organisation_name, fleet::quota>;

struct quota_node_options {
    std::string host;
    std::uint64_t incarnation{};
    quota_tolerance tolerance;
    bool is_first_start{false};
    steady_time started_at{};
};

/// The quotas of all subjects on one host, which is owner of some of them. Performs no I/O: requests and grants
/// are passed in and out. Times are of a clock that counts suspension. Not thread safe.
class quota_node {
public:
    explicit quota_node(quota_node_options options);
    quota_node(const quota_node&) = delete;
    quota_node& operator=(const quota_node&) = delete;
    quota_node(quota_node&&) = delete;
    quota_node& operator=(quota_node&&) = delete;
    ~quota_node() = default;

    /// Returns the part to which a subject belongs. The same on every host.
    [[nodiscard]] static std::uint32_t find_part(const quota_subject& subject);

    /// Sets the quotas of organisations. Precondition: `set_limits` is not used on the same node.
    void set_quotas(const fleet_quotas& quotas, steady_time now);
    /// Sets the limits of all subjects. They may change at any moment; what does not change keeps its state.
    void set_limits(const quota_limits& limits, steady_time now);
    /// Sets the hosts in the store's list, this one included.
    void set_hosts(const std::vector<owner_candidate>& hosts, steady_time now);

    /// Returns whether the host has read the list, without which it does not know its shares.
    [[nodiscard]] bool is_ready() const noexcept { return m_is_ready; }
    [[nodiscard]] bool has_limits() const noexcept { return m_has_limits; }

    /// Decides on a request; one of a subject without a limit is admitted. See `quota_account`.
    [[nodiscard]] quota_decision check(const quota_subject& subject, double amount, steady_time wait_until,
                                       steady_time now);
    /// Decides on a request that cannot wait: it is admitted if the host holds enough, and refused otherwise. Neither
    /// is counted as demand or booked.
    [[nodiscard]] quota_decision try_take(const quota_subject& subject, double amount, steady_time now);
    /// Returns whether the host knows that a request of this amount would be refused.
    [[nodiscard]] bool has_no_room(const quota_subject& subject, double amount, steady_time now) const;
    /// Returns after which time a request of this amount would be told to come back if it were refused now.
    [[nodiscard]] duration get_retry_after(const quota_subject& subject, double amount, steady_time now) const;
    /// Books a request that is refused without having been asked for; its `retry_after` is that of `get_retry_after`.
    [[nodiscard]] quota_decision refuse(const quota_subject& subject, double amount, steady_time now);
    [[nodiscard]] std::vector<quota_decision> take_decisions();
    void cancel(const quota_subject& subject, std::uint64_t ticket);
    void give_back(const quota_subject& subject, double amount, std::uint64_t session);

    /// Returns the requests that are to be sent to other hosts now.
    [[nodiscard]] std::vector<outgoing_quota_request> poll(steady_time now);
    /// Returns when `poll` is to be called next, unless something changes before.
    [[nodiscard]] steady_time get_next_poll(steady_time now) const;
    /// Applies the request of another host and returns the answer.
    [[nodiscard]] std::optional<quota_grant> apply(const quota_request& request, steady_time now);
    void apply(const quota_grant& grant, steady_time now);

    /// Returns how many subjects are at their quota.
    [[nodiscard]] std::size_t count_blocked(steady_time now) const;

private:
    struct part {
        quota_account account;
        quota_pool pool;
    };

    void add_probes(std::vector<outgoing_quota_request>& requests) const;

    quota_node_options m_options;
    /// Hosts that did not answer. They are asked again from time to time.
    std::set<std::string> m_unresponsive;
    std::vector<part> m_parts;
    /// Hosts are counted for a while after they have left the list, since they may still use their shares.
    recent_maximum<std::size_t> m_host_count;
    std::vector<owner_candidate> m_hosts;
    std::size_t m_shares{1};
    steady_time m_counted_at{};
    steady_time m_probed_at{};
    bool m_is_ready{false};
    bool m_has_limits{false};
};

} // namespace dragonflywell::policy
