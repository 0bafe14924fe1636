#include "policy/caller_limiter.hpp"

#include <algorithm>
#include <tuple>

namespace dragonflywell::policy {

namespace {

/// One part in so many of the budget is for small requests only.
constexpr std::size_t small_request_part = 8;
/// The pace of a request younger than this is not known yet.
constexpr duration min_pace_time = std::chrono::milliseconds(100);

} // namespace

steady_time get_body_deadline(steady_time head_began_at, duration header_time, std::optional<duration> own_time) {
    return head_began_at + std::max(header_time, own_time.value_or(duration::zero()));
}

steady_time get_response_deadline(steady_time began_at, duration piece_time, std::size_t bytes) {
    // 1 Mbit/s.
    constexpr std::size_t bytes_per_second = 125'000;
    return began_at + piece_time + std::chrono::milliseconds(bytes * 1000 / bytes_per_second);
}

caller_limiter::decision caller_limiter::add(connection_id id, steady_time now) {
    decision decided;
    if (m_connections.size() >= m_options.max_connections) {
        // Idle connections are closed first; then unfinished requests, the longest without a byte first. A connection
        // that has just become idle comes after them, since the first bytes of its request may wait to be read.
        auto chosen = m_connections.end();
        for (auto each = m_connections.begin(); each != m_connections.end(); ++each) {
            const auto get_order = [now](const connection& other) {
                const bool is_fresh = other.state == phase::idle && now - other.grew_at < stall_time;
                return std::tuple(other.state == phase::running, is_fresh, other.state, other.grew_at);
            };
            if ((each->second.state != phase::running || m_options.may_close_running) &&
                (chosen == m_connections.end() || get_order(each->second) < get_order(chosen->second))) {
                chosen = each;
            }
        }
        if (chosen == m_connections.end()) {
            decided.is_admitted = false;
            return decided;
        }
        close(chosen, decided);
    }
    const auto own = m_connections.emplace(id, connection{.began_at = now, .grew_at = now, .held_bytes = 0}).first;
    decision room = make_room(own, connection_bytes, now);
    decided.to_close.insert(decided.to_close.end(), room.to_close.begin(), room.to_close.end());
    if (!room.is_admitted) {
        decided.is_admitted = false;
        m_connections.erase(own);
    }
    return decided;
}

void caller_limiter::remove(connection_id id) {
    const auto own = m_connections.find(id);
    if (own != m_connections.end()) {
        m_held_bytes -= own->second.held_bytes;
        m_connections.erase(own);
    }
}

void caller_limiter::begin_request(connection_id id, steady_time now) {
    const auto own = m_connections.find(id);
    if (own != m_connections.end()) {
        own->second.state = phase::receiving;
        own->second.began_at = now;
        own->second.grew_at = now;
        own->second.received_bytes = 0;
    }
}

caller_limiter::decision caller_limiter::resize(connection_id id, std::size_t received_bytes, std::size_t held_bytes,
                                                steady_time now) {
    const auto own = m_connections.find(id);
    if (own == m_connections.end()) {
        return {.is_admitted = false, .to_close = {}};
    }
    if (received_bytes > own->second.received_bytes) {
        own->second.received_bytes = received_bytes;
        own->second.grew_at = now;
    }
    return make_room(own, held_bytes + connection_bytes, now);
}

caller_limiter::decision caller_limiter::begin_run(connection_id id, std::size_t held_bytes, steady_time now) {
    const auto own = m_connections.find(id);
    if (own == m_connections.end()) {
        return {.is_admitted = false, .to_close = {}};
    }
    decision decided = make_room(own, held_bytes + connection_bytes, now);
    if (decided.is_admitted) {
        own->second.state = phase::running;
    }
    return decided;
}

void caller_limiter::begin_idle(connection_id id, steady_time now) {
    const auto own = m_connections.find(id);
    if (own != m_connections.end()) {
        m_held_bytes -= own->second.held_bytes;
        m_held_bytes += connection_bytes;
        own->second = {.state = phase::idle, .began_at = now, .grew_at = now};
    }
}

caller_limiter::decision caller_limiter::make_room(connection_map::iterator own, std::size_t held_bytes,
                                                   steady_time now) {
    decision decided;
    const std::size_t held_before = own->second.held_bytes;
    const bool is_large = held_bytes > small_request_bytes + connection_bytes;
    const std::size_t limit =
        is_large ? m_options.budget_bytes - m_options.budget_bytes / small_request_part : m_options.budget_bytes;
    const auto fits = [&] { return held_bytes <= held_before || m_held_bytes - held_before + held_bytes <= limit; };
    if (!fits()) {
        for (const connection_map::iterator& candidate : rank_for_memory(own->first, now)) {
            if (fits() || (is_large && is_only_large(own->first) && candidate->second.is_small())) {
                break;
            }
            close(candidate, decided);
        }
    }
    // A request alone is served whatever its size, so that no budget is smaller than a request within the limits.
    decided.is_admitted = fits() || (is_large && is_only_large(own->first));
    if (decided.is_admitted) {
        m_held_bytes = m_held_bytes - held_before + held_bytes;
        own->second.held_bytes = held_bytes;
    }
    return decided;
}

std::vector<caller_limiter::connection_map::iterator> caller_limiter::rank_for_memory(connection_id own,
                                                                                      steady_time now) {
    const auto get_rank = [now](const connection& candidate) {
        const bool is_stalled = now - candidate.grew_at >= stall_time;
        const duration age = std::max(now - candidate.began_at, min_pace_time);
        const double pace =
            is_stalled ? 0.0
                       : static_cast<double>(candidate.received_bytes) / std::chrono::duration<double>(age).count();
        // An idle connection holds little, and the first bytes of its request may wait to be read.
        const bool is_idle = candidate.state == phase::idle;
        return std::tuple(candidate.is_small(), is_idle, !is_stalled, pace, candidate.began_at);
    };
    const auto self = m_connections.find(own);
    const auto own_rank = get_rank(self->second);
    std::vector<connection_map::iterator> ranked;
    for (auto each = m_connections.begin(); each != m_connections.end(); ++each) {
        // A request makes way for others, and is refused, before it displaces one that ranks behind it.
        if (each != self && each->second.state != phase::running && get_rank(each->second) < own_rank) {
            ranked.push_back(each);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [&](const auto& left, const auto& right) { return get_rank(left->second) < get_rank(right->second); });
    return ranked;
}

bool caller_limiter::is_only_large(connection_id own) const {
    return std::none_of(m_connections.begin(), m_connections.end(),
                        [own](const auto& each) { return each.first != own && !each.second.is_small(); });
}

void caller_limiter::close(connection_map::iterator chosen, decision& decided) {
    m_held_bytes -= chosen->second.held_bytes;
    decided.to_close.push_back(chosen->first);
    m_connections.erase(chosen);
}

} // namespace dragonflywell::policy
