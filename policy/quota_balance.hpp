#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <vector>

#include "core/clock.hpp"
#include "policy/quota_exchange_types.hpp"
#include "policy/quota_limit.hpp"

namespace dragonflywell::policy {

enum class quota_answer : std::uint8_t { admitted, refused, waiting };

/// What a host does with a request of a subject with a quota.
struct quota_decision {
    quota_answer answer{quota_answer::admitted};
    /// Identifies a waiting request; zero for another one.
    std::uint64_t ticket{};
    /// Of a refused request.
    duration retry_after{};
    /// Identifies the grants from which the request was admitted; needed to give them back.
    std::uint64_t session{};
};

/// What a host has of the quota of one subject: grants of the owner, its own share while no owner has it, and the
/// requests that wait for either. Times are of a clock that counts suspension. Not thread safe.
class quota_balance {
public:
    explicit quota_balance(double used_total) noexcept : m_used_total(used_total) {}

    /// `hosts`: among how many hosts the quota is divided.
    void set_limit(const quota_limit& limit, std::size_t hosts);
    [[nodiscard]] const quota_limit& get_limit() const noexcept { return m_limit; }

    /// Fills the own share.
    void fill_own_share(double seconds, std::size_t hosts);
    void drop_own_share() noexcept { m_own_level = 0; }

    /// Takes an amount if there is enough. The own share counts if `uses_own_share`.
    [[nodiscard]] bool try_take(double amount, bool uses_own_share, steady_time now);
    /// Returns whether `try_take` would succeed.
    [[nodiscard]] bool can_take(double amount, bool uses_own_share, steady_time now) const;
    [[nodiscard]] double get_used_total() const noexcept { return m_used_total; }
    /// Returns to the owner what was taken and not used.
    void give_back(double amount);
    /// Returns the decision on a request that is refused.
    [[nodiscard]] quota_decision refuse(double amount, std::size_t hosts, steady_time now);
    /// Returns the Retry-After of a request that would be refused now.
    [[nodiscard]] duration get_retry_after(double amount, std::size_t hosts, steady_time now) const;
    void count_refused(double amount) { m_refused += amount; }

    /// What requests ask for per second, as an average.
    void add_demand(double amount, steady_time now);
    [[nodiscard]] double get_demand(steady_time now) const;

    void add_waiting(std::uint64_t ticket, double amount, steady_time until);
    void cancel(std::uint64_t ticket);
    [[nodiscard]] bool has_waiting() const noexcept { return !m_waiting.empty(); }
    /// Returns when the first waiting request is refused. Precondition: one waits.
    [[nodiscard]] steady_time get_first_end() const { return m_waiting.front().until; }
    [[nodiscard]] std::vector<std::uint64_t> get_tickets() const;
    /// Decides on the waiting requests for which there is enough, and on those whose time is over or, if `is_answered`,
    /// that the owner knew of.
    void settle_waiting(bool is_answered, bool uses_own_share, std::size_t hosts, std::uint64_t session,
                        steady_time now, std::vector<quota_decision>& decisions);

    /// Returns what the owner is to be told.
    [[nodiscard]] quota_need make_need(std::uint64_t sequence, steady_time now);
    /// Returns whether there is anything to tell.
    [[nodiscard]] bool has_news(steady_time now) const;
    /// Drops everything that the owner granted and returns what the owner is to be told.
    [[nodiscard]] quota_need make_return();
    /// Notes that the last request was not answered, so that waiting requests are stated again.
    void forget_asked();
    /// Applies the answer to the request that was sent at that time.
    void apply(const quota_allowance& allowance, steady_time sent_at, bool has_pledged, steady_time now);

    /// Keeps the grants until their end, but apart from those of the next owner.
    void change_owner();
    void drop_grants() noexcept { m_granted = {}; }

    /// Returns whether the host holds so little that it should ask for more.
    [[nodiscard]] bool is_low(steady_time now) const;
    [[nodiscard]] bool is_blocked(steady_time now) const noexcept { return now < m_blocked_until; }
    /// Returns whether the owner, or the time that requests may wait, has lately refused a request.
    [[nodiscard]] bool was_refused(steady_time now) const noexcept {
        return now < std::max(m_blocked_until, m_unserved_until);
    }

private:
    struct waiting_request {
        std::uint64_t ticket{};
        double amount{};
        steady_time until{};
        /// Sequence of the request to the owner that states it; zero if none does.
        std::uint64_t asked_in{};
    };

    /// An amount that may be used until a time.
    struct grants {
        double amount{};
        steady_time until{};

        [[nodiscard]] bool take(double wanted, steady_time now);
        [[nodiscard]] double get(steady_time now) const { return now < until ? amount : 0; }
    };

    quota_limit m_limit;
    /// Grants of the owner, and those of the owner before it.
    grants m_granted;
    grants m_earlier;
    double m_own_level{};
    double m_used_total{};
    double m_refused{};
    double m_refused_sent{};
    std::deque<waiting_request> m_waiting;
    steady_time m_blocked_until{};
    /// A waiting request got no answer in time; until then another would most likely not get one either.
    steady_time m_unserved_until{};
    /// Next moment that is booked for a refused request.
    steady_time m_next_booked{};
    double m_booked_rate{};
    double m_demand{};
    steady_time m_demand_at{};
    bool m_has_changed{false};
};

} // namespace dragonflywell::policy
