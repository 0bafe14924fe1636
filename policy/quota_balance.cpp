#include "policy/quota_balance.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::policy {

namespace {

/// What a host holds for expected needs, as a time of its demand, and the level at which it asks for more. The first
/// covers the interval of requests.
constexpr double ahead_seconds = 0.5;
constexpr double low_seconds = 0.15;
/// Time over which demand is averaged.
constexpr double demand_seconds = 0.7;
/// What is left of demand that ended long ago.
constexpr double negligible = 0.001;
/// Least Retry-After when no owner has booked a time.
constexpr duration default_retry_after = std::chrono::milliseconds(200);
/// For how long a host expects no room after a request has waited in vain for the owner.
constexpr duration unserved_time = std::chrono::milliseconds(200);

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

bool quota_balance::grants::take(double wanted, steady_time now) {
    if (now >= until || amount < wanted) {
        return false;
    }
    amount -= wanted;
    return true;
}

void quota_balance::set_limit(const quota_limit& limit, std::size_t hosts) {
    if (m_limit != limit) {
        m_blocked_until = {};
        m_unserved_until = {};
        m_next_booked = {};
    }
    m_limit = limit;
    m_own_level = std::min(m_own_level, limit.capacity / static_cast<double>(hosts));
    if (limit.unit > 0) {
        m_granted.amount = std::min(m_granted.amount, get_whole_units(limit.capacity, limit.unit));
        m_earlier.amount = std::min(m_earlier.amount, get_whole_units(limit.capacity, limit.unit));
    }
}

void quota_balance::fill_own_share(double seconds, std::size_t hosts) {
    const double share = 1 / static_cast<double>(hosts);
    m_own_level = std::min(m_limit.capacity * share, m_own_level + m_limit.rate_per_second * share * seconds);
}

bool quota_balance::can_take(double amount, bool uses_own_share, steady_time now) const {
    return m_earlier.get(now) >= amount || m_granted.get(now) >= amount || (uses_own_share && m_own_level >= amount);
}

bool quota_balance::try_take(double amount, bool uses_own_share, steady_time now) {
    if (m_earlier.take(amount, now)) {
        return true;
    }
    if (m_granted.take(amount, now)) {
        m_used_total += amount;
        m_has_changed = true;
        return true;
    }
    if (uses_own_share && m_own_level >= amount) {
        m_own_level -= amount;
        return true;
    }
    return false;
}

void quota_balance::give_back(double amount) {
    // Not to what the host holds: the owner counts it as used and may have filled up what that permits.
    m_used_total -= amount;
    m_has_changed = true;
}

duration quota_balance::get_retry_after(double amount, std::size_t hosts, steady_time now) const {
    constexpr double max_seconds = 3600;
    // A caller that comes back before the end of the block would be refused without having been asked for.
    const steady_time earliest = std::max(m_blocked_until, now + default_retry_after);
    const double share = m_limit.rate_per_second / static_cast<double>(hosts);
    const double pace = m_booked_rate > 0 ? m_booked_rate : share;
    const std::chrono::duration<double> needed(std::min(amount / pace, max_seconds));
    return std::max(m_next_booked, earliest) + std::chrono::duration_cast<duration>(needed) - now;
}

quota_decision quota_balance::refuse(double amount, std::size_t hosts, steady_time now) {
    const duration retry_after = get_retry_after(amount, hosts, now);
    m_next_booked = now + retry_after;
    return {.answer = quota_answer::refused, .ticket = 0, .retry_after = retry_after, .session = 0};
}

void quota_balance::add_demand(double amount, steady_time now) {
    m_demand = get_demand(now) + amount / demand_seconds;
    m_demand_at = now;
}

double quota_balance::get_demand(steady_time now) const {
    const double demand = m_demand * std::exp(-to_seconds(now - m_demand_at) / demand_seconds);
    return demand < negligible ? 0 : demand;
}

void quota_balance::add_waiting(std::uint64_t ticket, double amount, steady_time until) {
    m_waiting.push_back({.ticket = ticket, .amount = amount, .until = until, .asked_in = 0});
}

void quota_balance::cancel(std::uint64_t ticket) {
    std::erase_if(m_waiting, [&](const waiting_request& request) { return request.ticket == ticket; });
}

std::vector<std::uint64_t> quota_balance::get_tickets() const {
    std::vector<std::uint64_t> tickets;
    for (const waiting_request& request : m_waiting) {
        tickets.push_back(request.ticket);
    }
    return tickets;
}

void quota_balance::settle_waiting(bool is_answered, bool uses_own_share, std::size_t hosts, std::uint64_t session,
                                   steady_time now, std::vector<quota_decision>& decisions) {
    for (auto request = m_waiting.begin(); request != m_waiting.end();) {
        if (try_take(request->amount, uses_own_share, now)) {
            decisions.push_back({.answer = quota_answer::admitted,
                                 .ticket = request->ticket,
                                 .retry_after = duration::zero(),
                                 .session = session});
        } else if (now >= request->until || (is_answered && request->asked_in != 0)) {
            if (!is_answered) {
                m_refused += request->amount;
                m_unserved_until = now + unserved_time;
            }
            decisions.push_back(refuse(request->amount, hosts, now));
            decisions.back().ticket = request->ticket;
        } else {
            ++request;
            continue;
        }
        request = m_waiting.erase(request);
    }
}

bool quota_balance::has_news(steady_time now) const {
    return m_has_changed || m_refused > 0 || m_granted.get(now) > 0 || !m_waiting.empty() || get_demand(now) > 0;
}

quota_need quota_balance::make_return() {
    m_granted = {};
    m_refused_sent = m_refused;
    m_has_changed = false;
    quota_need need;
    need.used_total = m_used_total;
    need.refused = m_refused;
    return need;
}

quota_need quota_balance::make_need(std::uint64_t sequence, steady_time now) {
    m_refused_sent = m_refused;
    m_has_changed = false;
    double wanted = 0;
    for (waiting_request& request : m_waiting) {
        request.asked_in = sequence;
        wanted += request.amount;
    }
    const double expected = get_demand(now) * ahead_seconds;
    if (wanted == 0 && m_granted.get(now) > 2 * expected) {
        m_granted.amount = get_whole_units(expected, m_limit.unit);
    }
    quota_need need;
    need.used_total = m_used_total;
    need.refused = m_refused;
    need.held = m_granted.get(now);
    need.waiting = std::max(0.0, wanted - need.held);
    need.expected = std::max(0.0, expected - std::max(0.0, need.held - wanted));
    return need;
}

void quota_balance::forget_asked() {
    for (waiting_request& request : m_waiting) {
        request.asked_in = 0;
    }
}

void quota_balance::apply(const quota_allowance& allowance, steady_time sent_at, bool has_pledged, steady_time now) {
    m_granted.amount = m_granted.get(now) + allowance.granted;
    m_granted.until = sent_at + grant_time;
    m_refused = std::max(0.0, m_refused - m_refused_sent);
    m_refused_sent = 0;
    if (allowance.booked_rate > 0) {
        m_booked_rate = allowance.booked_rate;
        m_next_booked = std::max(m_next_booked, now + allowance.booked_from);
    }
    if (has_pledged && allowance.blocked_for > duration::zero()) {
        m_blocked_until = now + allowance.blocked_for;
    }
}

void quota_balance::change_owner() {
    m_earlier = m_granted;
    m_granted = {};
    forget_asked();
}

bool quota_balance::is_low(steady_time now) const {
    const double demand = get_demand(now);
    // Less than a unit is not granted ahead.
    return !is_blocked(now) && demand * ahead_seconds >= m_limit.unit && m_granted.get(now) < demand * low_seconds;
}

} // namespace dragonflywell::policy
