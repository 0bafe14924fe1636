#include "policy/quota_pool.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace dragonflywell::policy {

namespace {

/// Part of the level that is granted at once for expected needs, so that hosts with waiting requests find something.
constexpr double max_ahead_share = 0.25;
/// Part of the capacity that may be outstanding before nothing more is granted for expected needs.
constexpr double max_outstanding_share = 0.5;
/// Part of the rate for which refused requests are booked. Callers that come for the first time need the rest; an
/// organisation uses about half of its quota when it does not exceed it.
constexpr double booked_rate_share = 0.4;
/// How long a surge lasts at most in the stated load, and for how long nothing is refused between two of them.
constexpr std::chrono::duration<double> max_surge{11.0};
constexpr duration surge_pause = std::chrono::seconds(2);
/// For how long hosts that found nothing ask no more, for each such host, and the bounds of it. The bucket keeps what
/// comes in meanwhile: its capacity is more than half a second of the rate with the tolerance of the platform.
constexpr duration block_per_host = std::chrono::milliseconds(1);
constexpr duration min_block = std::chrono::milliseconds(50);
constexpr duration max_block = std::chrono::milliseconds(400);
/// The same if only whole units are granted, of which a small limit has one in several seconds.
constexpr duration max_unit_block = std::chrono::seconds(1);
/// How long a limit that hosts state, or that has ended here, counts. It outlasts the grants of it.
constexpr duration stated_time = std::chrono::seconds(1);

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

duration to_duration(double seconds) {
    constexpr double max_seconds = 3600;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

} // namespace

void quota_pool::set_limits(const quota_limits& limits, steady_time now) {
    advance(now);
    for (auto& [subject, own] : m_buckets) {
        if (own.known && own.known->named && !limits.contains(subject)) {
            // Hosts that have not heard of its end still use what they were granted.
            own.stated[*own.known->named] = now + stated_time;
        }
        own.known.reset();
    }
    for (const auto& [subject, limit] : limits) {
        m_buckets[subject].known = limit;
    }
    std::erase_if(m_buckets, [](const auto& item) { return !item.second.known && item.second.stated.empty(); });
    for (auto& [subject, own] : m_buckets) {
        choose_limit(own);
    }
}

void quota_pool::choose_limit(bucket& own) const {
    const double capacity_before = own.limit.capacity;
    own.limit = own.known.value_or(own.limit);
    if (!own.stated.empty()) {
        const quota_limit smallest = make_server_limit(own.stated.begin()->first);
        own.limit = own.known && own.known->capacity <= smallest.capacity ? *own.known : smallest;
    }
    if (own.limit.named && own.limit.capacity < capacity_before) {
        // What came in at the larger rate would exceed what the smaller limit allows.
        own.level *= own.limit.capacity / capacity_before;
    }
    clamp(own);
}

void quota_pool::drop_expired_limits(steady_time now) {
    for (auto item = m_buckets.begin(); item != m_buckets.end();) {
        bucket& own = item->second;
        if (std::erase_if(own.stated, [&](const auto& stated) { return stated.second <= now; }) > 0) {
            choose_limit(own);
        }
        item = own.known || !own.stated.empty() ? std::next(item) : m_buckets.erase(item);
    }
}

void quota_pool::set_host_count(std::size_t hosts, steady_time now) {
    advance(now);
    m_hosts = hosts;
}

double quota_pool::get_pledged_share() const noexcept {
    return std::min(1.0, static_cast<double>(m_pledges) / static_cast<double>(m_hosts));
}

void quota_pool::clamp(bucket& own) const {
    const double room = own.limit.capacity * get_pledged_share() - own.outstanding;
    own.level = std::clamp(own.level, 0.0, std::max(0.0, room));
}

void quota_pool::fill(double seconds) {
    const double share = get_pledged_share();
    for (auto& [subject, own] : m_buckets) {
        own.level += own.limit.rate_per_second * share * seconds;
        clamp(own);
    }
}

void quota_pool::advance(steady_time now) {
    // Filled up to each end of a pledge, so that no share counts for longer than it is pledged.
    while (m_next_pledge_end <= now) {
        const steady_time end = std::max(m_filled_at, m_next_pledge_end);
        fill(to_seconds(end - m_filled_at));
        m_filled_at = end;
        drop_expired_pledges(end);
    }
    if (now > m_filled_at) {
        fill(to_seconds(now - m_filled_at));
        m_filled_at = now;
    }
    drop_expired_limits(now);
    for (auto& [subject, own] : m_buckets) {
        if (own.next_expiry <= now) {
            drop_expired_holdings(own, now);
        }
    }
}

void quota_pool::drop_expired_pledges(steady_time now) {
    m_next_pledge_end = steady_time::max();
    for (auto& [host, sender] : m_members) {
        if (!sender.is_pledged) {
            continue;
        }
        if (sender.pledged_until <= now) {
            sender.is_pledged = false;
            --m_pledges;
        } else {
            m_next_pledge_end = std::min(m_next_pledge_end, sender.pledged_until);
        }
    }
}

void quota_pool::drop_expired_holdings(bucket& own, steady_time now) {
    own.next_expiry = steady_time::max();
    own.outstanding = 0;
    std::erase_if(own.holdings, [&](const auto& item) { return item.second.until <= now; });
    for (const auto& [host, held] : own.holdings) {
        own.outstanding += held.get_total();
        own.next_expiry = std::min(own.next_expiry, held.until);
    }
}

void quota_pool::apply_pledge(member& sender, const quota_request& request, steady_time now) {
    if (request.pledge == quota_pledge::pledged && request.owner_incarnation == m_incarnation) {
        // The request was sent at this time of the owner's clock or later.
        const steady_time sent_at = steady_time(request.owner_time) + request.held_for;
        const steady_time until = std::min(sent_at, now) + pledge_time;
        if (until > now) {
            m_pledges += sender.is_pledged ? 0 : 1;
            sender.is_pledged = true;
            sender.pledged_until = until;
            m_next_pledge_end = std::min(m_next_pledge_end, until);
        }
    } else if (request.pledge == quota_pledge::released && sender.is_pledged) {
        sender.is_pledged = false;
        --m_pledges;
        for (auto& [subject, own] : m_buckets) {
            clamp(own);
        }
    }
}

void quota_pool::apply_start(member& sender, const quota_request& request) {
    // Before the share is pledged, the bucket has no capacity for what it holds.
    if (request.start == quota_start::none || !sender.is_pledged || sender.has_started) {
        return;
    }
    sender.has_started = true;
    for (auto& [subject, own] : m_buckets) {
        const double first = own.limit.starts_empty ? 0 : own.limit.capacity;
        const double whole = request.start == quota_start::first_start ? first : own.limit.restart_level;
        own.level += whole / static_cast<double>(m_hosts);
    }
}

void quota_pool::settle(bucket& own, const quota_request& request, const quota_need& need, steady_time now) {
    const auto [found, is_new] = own.holdings.try_emplace(request.host);
    holding& known = found->second;
    own.outstanding -= known.get_total();
    if (!is_new) {
        // A host that has not received the last grant by now ignores it, so that it is in neither of the two numbers.
        own.level += std::max(0.0, known.get_total() - (need.used_total - known.used_total) - need.held);
    }
    known = {.held = need.held, .granted = 0, .used_total = need.used_total, .until = now + grant_time};
    own.outstanding += known.get_total();
    own.next_expiry = std::min(own.next_expiry, known.until);
}

quota_allowance quota_pool::grant(bucket& own, const quota_request& request, const quota_need& need, steady_time now) {
    clamp(own);
    quota_allowance allowance;
    allowance.subject = need.subject;
    const double waiting = get_whole_units(std::min(need.waiting, own.level), own.limit.unit);
    const double room = own.limit.capacity * get_pledged_share() * max_outstanding_share - own.outstanding - waiting;
    const double ahead =
        std::clamp(need.expected, 0.0, std::max(0.0, std::min((own.level - waiting) * max_ahead_share, room)));
    allowance.granted = waiting + get_whole_units(ahead, own.limit.unit);
    holding& known = own.holdings.at(request.host);
    known.granted = allowance.granted;
    own.level -= allowance.granted;
    own.outstanding += allowance.granted;

    const double missing = std::max(0.0, need.waiting - waiting);
    if (missing + need.refused > 0) {
        book(own, need.refused, missing, allowance, now);
    }
    return allowance;
}

void quota_pool::book(bucket& own, double refused, double missing, quota_allowance& allowance, steady_time now) const {
    const double hosts = static_cast<double>(m_hosts);
    const double rate = own.limit.rate_per_second * std::max(get_pledged_share(), 1 / hosts);
    if (now >= own.refused_at + surge_pause) {
        own.refused_since = now;
    }
    const double passed = to_seconds(now - own.refused_at);
    own.refused_rate = own.refused_rate * std::exp(-passed) + missing + refused;
    own.refused_at = now;
    // Callers that come back during a surge would find no more room than others.
    const duration surge_left =
        std::chrono::duration_cast<duration>(std::min(1.0, own.refused_rate / rate) * max_surge);
    const steady_time from = std::max({now, own.booked_until, own.refused_since + surge_left});
    const double pace = rate * booked_rate_share;
    own.booked_until = from + to_duration((missing + refused) / pace);
    allowance.booked_from = from + to_duration(refused / pace) - now;
    // All hosts that have asked lately may refuse at the same time.
    const auto asking = static_cast<double>(std::max<std::size_t>(1, own.holdings.size()));
    allowance.booked_rate = pace / asking;
    if (missing > 0) {
        allowance.blocked_for = get_block(own, rate);
    }
}

duration quota_pool::get_block(const bucket& own, double rate) const {
    const auto asking = static_cast<double>(std::max<std::size_t>(1, own.holdings.size()));
    const auto shared = std::chrono::duration_cast<duration>(block_per_host * asking);
    if (own.limit.unit <= 0) {
        return std::clamp(shared, min_block, max_block);
    }
    const duration next_unit = to_duration((own.limit.unit - own.level) / rate);
    return std::clamp(std::max(shared, next_unit), min_block, max_unit_block);
}

bool quota_pool::has_excess() const {
    return std::any_of(m_buckets.begin(), m_buckets.end(), [this](const auto& item) {
        return item.second.outstanding > item.second.limit.capacity * get_pledged_share();
    });
}

std::optional<quota_grant> quota_pool::apply(const quota_request& request, steady_time now) {
    quota_grant answer{.owner = m_owner,
                       .incarnation = m_incarnation,
                       .part = m_part,
                       .sequence = request.sequence,
                       .time = now.time_since_epoch(),
                       .is_released = false,
                       .allowances = {}};
    if (request.sequence == 0) {
        return answer;
    }
    advance(now);
    member& sender = m_members[request.host];
    const bool is_restarted = request.incarnation > sender.incarnation;
    if (request.incarnation < sender.incarnation || (!is_restarted && request.sequence <= sender.sequence)) {
        return std::nullopt;
    }
    if (is_restarted) {
        sender.incarnation = request.incarnation;
        sender.has_started = false;
        // What the process before it held is lost, but may have been used until it ended.
        for (auto& [subject, own] : m_buckets) {
            if (const auto found = own.holdings.find(request.host); found != own.holdings.end()) {
                own.outstanding -= found->second.get_total();
                own.holdings.erase(found);
            }
        }
    }
    sender.sequence = request.sequence;
    apply_pledge(sender, request, now);
    apply_start(sender, request);
    answer.is_released = request.pledge == quota_pledge::released && !has_excess();
    for (const quota_need& need : request.needs) {
        if (need.named_limit && is_valid_server_limit(*need.named_limit)) {
            bucket& named = m_buckets[need.subject];
            named.stated[*need.named_limit] = now + stated_time;
            choose_limit(named);
        }
        const auto found = m_buckets.find(need.subject);
        if (found == m_buckets.end()) {
            continue;
        }
        settle(found->second, request, need, now);
        answer.allowances.push_back(grant(found->second, request, need, now));
    }
    return answer;
}

} // namespace dragonflywell::policy
