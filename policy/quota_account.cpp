#include "policy/quota_account.hpp"

#include <algorithm>
#include <utility>

namespace dragonflywell::policy {

namespace {

/// Interval of requests without need. A pledge outlasts one lost request.
constexpr duration refresh_interval = std::chrono::milliseconds(400);
/// Shortest interval of requests while requests of callers wait, for each host of the fleet, and its bounds.
constexpr duration wait_interval_per_host = std::chrono::microseconds(100);
constexpr duration min_wait_interval = std::chrono::milliseconds(10);
constexpr duration max_wait_interval = std::chrono::milliseconds(40);
/// Shortest interval of requests for expected needs.
constexpr duration ahead_interval = std::chrono::milliseconds(200);
/// An owner has failed after this many unanswered requests in this time. At 5 % loss in each direction this happens by
/// chance to one request in 10,000.
constexpr std::uint32_t max_unanswered = 4;
constexpr duration max_silence = std::chrono::milliseconds(300);
/// Bounds of the time after which a request counts as unanswered. Hosts of a region answer within 50 ms.
constexpr duration min_timeout = std::chrono::milliseconds(30);
constexpr duration max_timeout = std::chrono::milliseconds(100);
constexpr duration first_round_trip = std::chrono::milliseconds(20);
/// Shortest time between two looks at the timers, so that those of several parts come together.
constexpr duration min_poll_pause = std::chrono::milliseconds(5);

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

quota_account::quota_account(quota_account_options options, std::set<std::string>& unresponsive)
    : m_options(std::move(options)), m_unresponsive(&unresponsive), m_round_trip(first_round_trip),
      m_free_at(m_options.started_at), m_own_filled_at(m_options.started_at), m_last_ticket(m_options.part) {}

void quota_account::set_limits(const quota_limits& limits, steady_time now) {
    fill_own_shares(now);
    for (auto item = m_subjects.begin(); item != m_subjects.end();) {
        if (limits.contains(item->first)) {
            ++item;
            continue;
        }
        for (const std::uint64_t ticket : item->second.get_tickets()) {
            m_decisions.push_back({.answer = quota_answer::admitted,
                                   .ticket = ticket,
                                   .retry_after = duration::zero(),
                                   .session = m_session});
        }
        m_first_used_total = std::max(m_first_used_total, item->second.get_used_total());
        item = m_subjects.erase(item);
    }
    for (const auto& [subject, limit] : limits) {
        const auto [found, is_new] = m_subjects.try_emplace(subject, m_first_used_total);
        found->second.set_limit(limit, m_hosts);
    }
    if (m_subjects.empty()) {
        // Nothing is sent until there is a limit again, and the time until then does not show that an owner fails.
        m_sent.reset();
        m_unanswered = 0;
        m_is_urgent = true;
    }
}

void quota_account::set_order(std::vector<std::string> order, std::size_t hosts, steady_time now) {
    fill_own_shares(now);
    m_hosts = hosts;
    const bool is_first = m_order.empty();
    m_order = std::move(order);
    if (is_first && m_options.start == quota_start::restart && !m_order.empty()) {
        // The process before this one may have pledged its shares, most likely to the first host of the order.
        m_holder = m_order.front();
        m_free_at = m_options.started_at + pledge_time + grant_time;
        m_own_filled_at = m_free_at;
    }
}

void quota_account::fill_own_shares(steady_time now) {
    if (now <= m_own_filled_at) {
        return;
    }
    const double seconds = to_seconds(now - m_own_filled_at);
    m_own_filled_at = now;
    for (auto& [subject, own] : m_subjects) {
        own.fill_own_share(seconds, m_hosts);
    }
}

quota_decision quota_account::check(const quota_subject& subject, double amount, steady_time wait_until,
                                    steady_time now) {
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end()) {
        return {};
    }
    quota_balance& own = found->second;
    own.add_demand(amount, now);
    if (uses_own_shares(now)) {
        fill_own_shares(now);
    }
    if (!own.has_waiting() && own.try_take(amount, uses_own_shares(now), now)) {
        return {.answer = quota_answer::admitted, .ticket = 0, .retry_after = duration::zero(), .session = m_session};
    }
    if (own.is_blocked(now) || wait_until <= now || amount > own.get_limit().capacity) {
        own.count_refused(amount);
        return own.refuse(amount, m_hosts, now);
    }
    m_last_ticket += quota_parts;
    own.add_waiting(m_last_ticket, amount, wait_until);
    return {.answer = quota_answer::waiting, .ticket = m_last_ticket, .retry_after = duration::zero(), .session = 0};
}

quota_decision quota_account::try_take(const quota_subject& subject, double amount, steady_time now) {
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end()) {
        return {};
    }
    quota_balance& own = found->second;
    if (uses_own_shares(now)) {
        fill_own_shares(now);
    }
    if (own.has_waiting() || !own.try_take(amount, uses_own_shares(now), now)) {
        return {.answer = quota_answer::refused,
                .ticket = 0,
                .retry_after = own.get_retry_after(amount, m_hosts, now),
                .session = 0};
    }
    return {.answer = quota_answer::admitted, .ticket = 0, .retry_after = duration::zero(), .session = m_session};
}

bool quota_account::has_no_room(const quota_subject& subject, double amount, steady_time now) const {
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end()) {
        return false;
    }
    const quota_balance& own = found->second;
    return own.was_refused(now) && !own.can_take(amount, uses_own_shares(now), now);
}

duration quota_account::get_retry_after(const quota_subject& subject, double amount, steady_time now) const {
    const auto found = m_subjects.find(subject);
    return found == m_subjects.end() ? duration::zero() : found->second.get_retry_after(amount, m_hosts, now);
}

quota_decision quota_account::refuse(const quota_subject& subject, double amount, steady_time now) {
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end()) {
        return {};
    }
    found->second.count_refused(amount);
    return found->second.refuse(amount, m_hosts, now);
}

std::vector<quota_decision> quota_account::take_decisions() {
    return std::exchange(m_decisions, {});
}

void quota_account::cancel(std::uint64_t ticket) {
    for (auto& [subject, own] : m_subjects) {
        own.cancel(ticket);
    }
}

void quota_account::give_back(const quota_subject& subject, double amount, std::uint64_t session) {
    const auto found = m_subjects.find(subject);
    if (session == m_session && found != m_subjects.end()) {
        found->second.give_back(amount);
    }
}

void quota_account::settle_waiting(quota_balance& own, bool is_answered, steady_time now) {
    if (uses_own_shares(now)) {
        fill_own_shares(now);
    }
    own.settle_waiting(is_answered, uses_own_shares(now), m_hosts, m_session, now, m_decisions);
}

void quota_account::check_answer(steady_time now) {
    if (!m_sent) {
        return;
    }
    const duration timeout = std::clamp(m_round_trip * 2, min_timeout, max_timeout);
    if (now < m_sent->at + timeout) {
        return;
    }
    if (m_unanswered == 0) {
        m_unanswered_since = m_sent->at;
    }
    ++m_unanswered;
    // The timeout may have been too short for the way to the owner.
    m_round_trip = std::min(m_round_trip * 2, max_timeout);
    m_sent.reset();
    m_is_urgent = true;
    for (auto& [subject, own] : m_subjects) {
        own.forget_asked();
    }
    if (m_unanswered >= max_unanswered && now - m_unanswered_since >= max_silence) {
        m_unresponsive->insert(m_owner);
    }
}

void quota_account::begin_with(const std::string& owner) {
    m_owner = owner;
    m_next_owner.clear();
    m_sent.reset();
    m_owner_incarnation = 0;
    m_unanswered = 0;
    m_round_trip = first_round_trip;
    m_is_urgent = true;
    ++m_session;
    for (auto& [subject, own] : m_subjects) {
        own.change_owner();
    }
}

void quota_account::choose_owner(steady_time now) {
    const auto first = std::find_if(m_order.begin(), m_order.end(),
                                    [this](const std::string& host) { return !m_unresponsive->contains(host); });
    const std::string& best = first == m_order.end() ? m_options.host : *first;
    if (best == m_owner) {
        m_next_owner.clear();
        return;
    }
    const bool has_shares = m_holder == m_owner && now < m_free_at;
    const bool is_listed = std::find(m_order.begin(), m_order.end(), m_owner) != m_order.end();
    if (has_shares && is_listed && m_owner_incarnation != 0 && !m_unresponsive->contains(m_owner) &&
        m_unanswered == 0) {
        m_next_owner = best;
    } else {
        begin_with(best);
    }
}

quota_pledge quota_account::choose_pledge(steady_time now) const {
    if (!m_next_owner.empty()) {
        return quota_pledge::released;
    }
    // A request that is not answered must not prolong the time for which the shares are bound.
    const bool is_free = m_holder.empty() || m_holder == m_owner || now >= m_free_at;
    return m_owner_incarnation != 0 && m_unanswered == 0 && is_free ? quota_pledge::pledged : quota_pledge::none;
}

bool quota_account::is_due(steady_time now) const {
    if (m_is_urgent || !m_next_owner.empty() || now >= m_sent_at + refresh_interval) {
        return true;
    }
    const duration interval = std::clamp(std::chrono::duration_cast<duration>(wait_interval_per_host * m_hosts),
                                         min_wait_interval, max_wait_interval);
    if (now < m_sent_at + interval) {
        return false;
    }
    const bool may_ask_ahead = now >= m_sent_at + ahead_interval;
    return std::any_of(m_subjects.begin(), m_subjects.end(), [&](const auto& item) {
        return item.second.has_waiting() || (may_ask_ahead && item.second.is_low(now));
    });
}

quota_request quota_account::make_request(steady_time now) {
    quota_request request;
    request.host = m_options.host;
    request.incarnation = m_options.incarnation;
    request.part = m_options.part;
    request.sequence = ++m_sequence;
    request.owner_incarnation = m_owner_incarnation;
    request.owner_time = m_owner_time;
    request.held_for = m_owner_incarnation == 0 ? duration::zero() : now - m_answered_at;
    request.pledge = choose_pledge(now);
    if (request.pledge == quota_pledge::pledged) {
        m_holder = m_owner;
        m_free_at = now + pledge_time + grant_time;
        m_own_filled_at = m_free_at;
        if (!m_is_started && (m_start_owner.empty() || m_start_owner == m_owner)) {
            m_start_owner = m_owner;
            request.start = m_options.start;
        }
    }
    for (auto& [subject, own] : m_subjects) {
        if (request.pledge == quota_pledge::pledged) {
            own.drop_own_share();
        }
        if (!own.has_news(now)) {
            continue;
        }
        quota_need need =
            request.pledge == quota_pledge::released ? own.make_return() : own.make_need(request.sequence, now);
        need.subject = subject;
        need.named_limit = own.get_limit().named;
        request.needs.push_back(std::move(need));
    }
    return request;
}

std::optional<outgoing_quota_request> quota_account::poll(steady_time now) {
    if (m_order.empty() || m_subjects.empty()) {
        return std::nullopt;
    }
    check_answer(now);
    for (auto& [subject, own] : m_subjects) {
        if (own.has_waiting()) {
            settle_waiting(own, false, now);
        }
    }
    if (!m_sent) {
        choose_owner(now);
    }
    if (m_sent || !is_due(now)) {
        return std::nullopt;
    }
    outgoing_quota_request outgoing{.owner = m_owner, .request = make_request(now)};
    m_sent = {.sequence = outgoing.request.sequence, .at = now, .pledge = outgoing.request.pledge};
    m_sent_at = now;
    m_is_urgent = false;
    return outgoing;
}

void quota_account::apply(const quota_grant& grant, steady_time now) {
    if (!m_sent || grant.owner != m_owner || grant.sequence != m_sent->sequence) {
        return;
    }
    const sent_request sent = *m_sent;
    m_sent.reset();
    m_unanswered = 0;
    m_round_trip = std::max(duration(1), (m_round_trip * 3 + (now - sent.at)) / 4);
    if (grant.incarnation != m_owner_incarnation) {
        // The shares are pledged only with the next request, since only it shows the owner how old it is.
        m_is_urgent = true;
        ++m_session;
        for (auto& [subject, own] : m_subjects) {
            own.drop_grants();
        }
    } else if (sent.pledge == quota_pledge::pledged) {
        m_is_started = m_is_started || m_start_owner == m_owner;
    }
    m_owner_incarnation = grant.incarnation;
    m_owner_time = grant.time;
    m_answered_at = now;
    for (const quota_allowance& allowance : grant.allowances) {
        const auto found = m_subjects.find(allowance.subject);
        if (found == m_subjects.end()) {
            continue;
        }
        // The owner has too little while the shares are on their way to it.
        const bool has_pledged = sent.pledge == quota_pledge::pledged && !m_is_urgent;
        found->second.apply(allowance, sent.at, has_pledged, now);
        settle_waiting(found->second, has_pledged, now);
    }
    if (sent.pledge == quota_pledge::released) {
        if (grant.is_released) {
            m_free_at = now;
            m_own_filled_at = now;
            m_holder.clear();
        }
        const std::string next = std::exchange(m_next_owner, {});
        if (!next.empty()) {
            begin_with(next);
        }
    }
}

steady_time quota_account::get_next_poll(steady_time now) const {
    if (m_order.empty() || m_subjects.empty()) {
        return steady_time::max();
    }
    // Without demand, only the pledge is to be renewed.
    const bool has_demand = std::any_of(m_subjects.begin(), m_subjects.end(),
                                        [&](const auto& item) { return item.second.get_demand(now) > 0; });
    steady_time next = m_sent_at + (has_demand ? ahead_interval : refresh_interval);
    if (m_sent) {
        next = m_sent->at + std::clamp(m_round_trip * 2, min_timeout, max_timeout);
    } else if (m_is_urgent || !m_next_owner.empty()) {
        return now;
    }
    for (const auto& [subject, own] : m_subjects) {
        if (!own.has_waiting()) {
            continue;
        }
        next = std::min(next, own.get_first_end());
        if (!m_sent) {
            next = std::min(next, m_sent_at + min_wait_interval);
        }
    }
    return std::max(next, now + min_poll_pause);
}

std::size_t quota_account::count_blocked(steady_time now) const {
    return static_cast<std::size_t>(std::count_if(m_subjects.begin(), m_subjects.end(),
                                                  [&](const auto& item) { return item.second.is_blocked(now); }));
}

} // namespace dragonflywell::policy
