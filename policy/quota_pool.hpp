#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "policy/quota_exchange_types.hpp"
#include "policy/quota_limit.hpp"

namespace dragonflywell::policy {

using quota_limits = std::map<quota_subject, quota_limit>;

/// The owner's side of the quotas of one part of the subjects: pools the shares that hosts pledge and grants them
/// to the hosts that need them.
///
/// Each subject has a token bucket. It fills with the pledged share of the rate, and its level and all that was
/// granted and may still be used are together at most the pledged share of the capacity. Of what all owners and hosts
/// use in a window, this leaves at most rate times window, and the capacity.
/// Times are of a clock that counts suspension. Not thread safe.
class quota_pool {
public:
    /// `owner` and `incarnation`: of this host.
    quota_pool(std::string owner, std::uint64_t incarnation, std::uint32_t part)
        : m_owner(std::move(owner)), m_incarnation(incarnation), m_part(part) {}

    /// Sets the quotas of the part. What a subject has left is kept, as far as the new quota permits it. A named limit
    /// that is left out stays in force for a second, and longer while hosts state it.
    void set_limits(const quota_limits& limits, steady_time now);
    /// Sets among how many hosts quotas are divided. Precondition: positive.
    void set_host_count(std::size_t hosts, steady_time now);

    /// Applies a request and returns the answer. Returns nothing for a request that is not newer than one of the same
    /// host.
    [[nodiscard]] std::optional<quota_grant> apply(const quota_request& request, steady_time now);

    /// Returns which part of all shares is pledged.
    [[nodiscard]] double get_pledged_share() const noexcept;

private:
    /// What a host has of the quota of a subject, as far as the owner knows.
    struct holding {
        double held{};
        /// What the answer to the last request granted.
        double granted{};
        double used_total{};
        steady_time until{};

        [[nodiscard]] double get_total() const noexcept { return held + granted; }
    };

    struct bucket {
        quota_limit limit;
        /// What this host knows, and the named limits that hosts have stated lately, each with the time until which it
        /// counts. The smallest is in force.
        std::optional<quota_limit> known;
        std::map<double, steady_time> stated;
        double level{};
        std::map<std::string, holding> holdings;
        /// Sum of the holdings.
        double outstanding{};
        /// No holding expires before.
        steady_time next_expiry{steady_time::max()};
        /// End of the time that is booked for refused requests.
        steady_time booked_until{};
        /// Refused per second, as an average over about a second, and since when requests have been refused.
        double refused_rate{};
        steady_time refused_at{};
        steady_time refused_since{};
    };

    struct member {
        std::uint64_t incarnation{};
        std::uint64_t sequence{};
        /// Absent or past if the host does not pledge its share.
        steady_time pledged_until{};
        bool is_pledged{false};
        /// Whether what the shares of the process held at its start was added.
        bool has_started{false};
    };

    void advance(steady_time now);
    void fill(double seconds);
    void drop_expired_pledges(steady_time now);
    static void drop_expired_holdings(bucket& own, steady_time now);
    void choose_limit(bucket& own) const;
    void drop_expired_limits(steady_time now);
    /// Bounds the level by what the capacity leaves.
    void clamp(bucket& own) const;
    void apply_pledge(member& sender, const quota_request& request, steady_time now);
    void apply_start(member& sender, const quota_request& request);
    /// Takes back what the host neither used nor kept.
    static void settle(bucket& own, const quota_request& request, const quota_need& need, steady_time now);
    [[nodiscard]] quota_allowance grant(bucket& own, const quota_request& request, const quota_need& need,
                                        steady_time now);
    /// Returns for how long hosts that found nothing should ask no more.
    [[nodiscard]] duration get_block(const bucket& own, double rate) const;
    /// Books time for what the host refused, and for what it asked for and did not get.
    void book(bucket& own, double refused, double missing, quota_allowance& allowance, steady_time now) const;
    [[nodiscard]] bool has_excess() const;

    std::string m_owner;
    std::uint64_t m_incarnation;
    std::uint32_t m_part;
    std::size_t m_hosts{1};
    std::map<quota_subject, bucket> m_buckets;
    std::map<std::string, member> m_members;
    std::size_t m_pledges{0};
    /// No pledge ends before.
    steady_time m_next_pledge_end{steady_time::max()};
    steady_time m_filled_at{};
};

} // namespace dragonflywell::policy
