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

/// The quotas of all organisations on one host, which is owner of some of them. Performs no I/O: requests and grants
/// are passed in and out. Times are of a clock that counts suspension. Not thread safe.
class quota_node {
public:
    explicit quota_node(quota_node_options options);
    quota_node(const quota_node&) = delete;
    quota_node& operator=(const quota_node&) = delete;
    quota_node(quota_node&&) = delete;
    quota_node& operator=(quota_node&&) = delete;
    ~quota_node() = default;

    /// Returns the part to which an organisation belongs. The same on every host.
    [[nodiscard]] static std::uint32_t find_part(const organisation_name& organisation);

    void set_quotas(const fleet_quotas& quotas, steady_time now);
    /// Sets the hosts in the store's list, this one included.
    void set_hosts(const std::vector<owner_candidate>& hosts, steady_time now);

    /// Returns whether the host has read the list, without which it does not know its shares.
    [[nodiscard]] bool is_ready() const noexcept { return m_is_ready; }
    [[nodiscard]] bool has_quotas() const noexcept { return m_has_quotas; }

    /// Decides on a request. See `quota_account`.
    [[nodiscard]] quota_decision check(const organisation_name& organisation, double amount, steady_time wait_until,
                                       steady_time now);
    [[nodiscard]] std::vector<quota_decision> take_decisions();
    void cancel(const organisation_name& organisation, std::uint64_t ticket);
    void give_back(const organisation_name& organisation, double amount, std::uint64_t session);

    /// Returns the requests that are to be sent to other hosts now.
    [[nodiscard]] std::vector<outgoing_quota_request> poll(steady_time now);
    /// Returns when `poll` is to be called next, unless something changes before.
    [[nodiscard]] steady_time get_next_poll(steady_time now) const;
    /// Applies the request of another host and returns the answer.
    [[nodiscard]] std::optional<quota_grant> apply(const quota_request& request, steady_time now);
    void apply(const quota_grant& grant, steady_time now);

    /// Returns how many organisations are at their quota.
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
    bool m_has_quotas{false};
};

} // namespace dragonflywell::policy
