#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "policy/quota_balance.hpp"
#include "policy/quota_exchange_types.hpp"
#include "policy/quota_pool.hpp"

namespace dragonflywell::policy {

struct quota_account_options {
    std::string host;
    std::uint64_t incarnation{};
    std::uint32_t part{};
    quota_start start{quota_start::none};
    steady_time started_at{};
};

/// A request to an owner.
struct outgoing_quota_request {
    std::string owner;
    quota_request request;
};

/// The host's side of the quotas of one part of the subjects: pledges the host's shares to an owner, asks it for
/// grants, and admits requests from them. While no owner has its shares, the host uses them itself.
///
/// Times are of a clock that counts suspension. Not thread safe.
class quota_account {
public:
    /// `unresponsive`: hosts that did not answer; outlives the account.
    quota_account(quota_account_options options, std::set<std::string>& unresponsive);

    void set_limits(const quota_limits& limits, steady_time now);
    /// Sets the listed hosts, this one included, in the order in which they are to own the part, and among how many
    /// hosts quotas are divided.
    void set_order(std::vector<std::string> order, std::size_t hosts, steady_time now);
    /// Returns whether there is any limit; nothing is sent without one.
    [[nodiscard]] bool has_limits() const noexcept { return !m_subjects.empty(); }
    [[nodiscard]] const std::vector<std::string>& get_order() const noexcept { return m_order; }
    [[nodiscard]] const std::string& get_owner() const noexcept { return m_owner; }

    /// Decides on a request, which may wait until the given time.
    [[nodiscard]] quota_decision check(const quota_subject& subject, double amount, steady_time wait_until,
                                       steady_time now);
    /// Decides on a request that cannot wait. See `quota_node`.
    [[nodiscard]] quota_decision try_take(const quota_subject& subject, double amount, steady_time now);
    [[nodiscard]] bool has_no_room(const quota_subject& subject, double amount, steady_time now) const;
    [[nodiscard]] duration get_retry_after(const quota_subject& subject, double amount, steady_time now) const;
    [[nodiscard]] quota_decision refuse(const quota_subject& subject, double amount, steady_time now);
    /// Returns the decisions on waiting requests since the last call.
    [[nodiscard]] std::vector<quota_decision> take_decisions();
    /// Removes a waiting request.
    void cancel(std::uint64_t ticket);
    /// Gives back what an admitted request did not use, since no server ran it.
    void give_back(const quota_subject& subject, double amount, std::uint64_t session);

    /// Returns the request that is to be sent now, if any, and refuses requests that have waited for too long.
    [[nodiscard]] std::optional<outgoing_quota_request> poll(steady_time now);
    /// Returns when `poll` is to be called next, unless something changes before.
    [[nodiscard]] steady_time get_next_poll(steady_time now) const;
    /// Applies the answer of an owner.
    void apply(const quota_grant& grant, steady_time now);

    /// Returns how many subjects are at their quota.
    [[nodiscard]] std::size_t count_blocked(steady_time now) const;

private:
    struct sent_request {
        std::uint64_t sequence{};
        steady_time at{};
        quota_pledge pledge{quota_pledge::none};
    };

    [[nodiscard]] bool uses_own_shares(steady_time now) const { return now >= m_free_at; }
    void fill_own_shares(steady_time now);
    void settle_waiting(quota_balance& own, bool is_answered, steady_time now);
    void check_answer(steady_time now);
    void choose_owner(steady_time now);
    void begin_with(const std::string& owner);
    [[nodiscard]] bool is_due(steady_time now) const;
    [[nodiscard]] quota_pledge choose_pledge(steady_time now) const;
    [[nodiscard]] quota_request make_request(steady_time now);

    quota_account_options m_options;
    std::set<std::string>* m_unresponsive;
    std::map<quota_subject, quota_balance> m_subjects;
    /// Where the used total of a new subject begins. Not below that of a removed one, which may be the same subject and
    /// of which the owner still knows the total.
    double m_first_used_total{0};
    std::vector<std::string> m_order;
    std::size_t m_hosts{1};
    std::string m_owner;
    /// The owner to which the host changes, as soon as the present one has given the shares back.
    std::string m_next_owner;
    std::uint64_t m_sequence{0};
    std::uint64_t m_owner_incarnation{0};
    duration m_owner_time{};
    steady_time m_answered_at{};
    std::optional<sent_request> m_sent;
    steady_time m_sent_at{};
    /// Requests in a row that the owner did not answer, and when the first was sent.
    std::uint32_t m_unanswered{0};
    steady_time m_unanswered_since{};
    duration m_round_trip;
    bool m_is_urgent{true};
    /// Owner that has the shares, or had them last, and the time from which others may have them.
    std::string m_holder;
    steady_time m_free_at;
    /// The owner that was told what the shares held at the start; it is told until it answers, and no other is.
    std::string m_start_owner;
    bool m_is_started{false};
    steady_time m_own_filled_at{};
    std::uint64_t m_session{1};
    /// Differs between the parts of a host.
    std::uint64_t m_last_ticket;
    std::vector<quota_decision> m_decisions;
};

} // namespace dragonflywell::policy
