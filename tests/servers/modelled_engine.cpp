#include "modelled_engine.hpp"

#include "modelled_host.hpp"

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;

constexpr double prefill_tokens_per_ms = 64;
constexpr double decode_tokens_per_ms = 32;
constexpr std::uint64_t decode_piece_tokens = 512;
constexpr duration step_time = 3700us;
constexpr duration step_time_per_stream = 20us;
/// Part of the memory of an engine that holds shared prefixes.
constexpr double cache_share = 0.6;

duration get_read_time(std::uint64_t tokens, double tokens_per_ms) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / tokens_per_ms));
}

} // namespace

void modelled_fleet::engine::lose() {
    m_is_lost = true;
    std::list<request_ptr> dropped = std::move(m_waiting);
    dropped.splice(dropped.end(), m_running);
    m_waiting.clear();
    m_running.clear();
    m_cache.clear();
    m_cached_tokens = 0;
    for (const request_ptr& item : dropped) {
        if (!item->has_ended) {
            m_fleet->m_hosts[item->host]->on_lost(item);
        }
    }
}

bool modelled_fleet::engine::use_prefix(std::uint64_t prefix, std::uint64_t tokens) {
    const auto found =
        std::find_if(m_cache.begin(), m_cache.end(), [&](const auto& item) { return item.first == prefix; });
    if (found != m_cache.end()) {
        m_cache.splice(m_cache.begin(), m_cache, found);
        return true;
    }
    m_cache.emplace_front(prefix, tokens);
    m_cached_tokens += tokens;
    while (static_cast<double>(m_cached_tokens) > cache_share * static_cast<double>(memory_tokens)) {
        m_cached_tokens -= m_cache.back().second;
        m_cache.pop_back();
    }
    return false;
}

void modelled_fleet::engine::read_next_prompt() {
    if (m_waiting.empty()) {
        return;
    }
    const auto position = find_next();
    const request_ptr next = *position;
    m_waiting.erase(position);
    m_is_working = true;
    m_fleet->post(get_time(get_read_time(next->unread_tokens, prefill_tokens_per_ms)), [this, next] {
        m_is_working = false;
        if (!next->has_ended) {
            m_fleet->post(network_time, [this, next] { m_fleet->m_hosts[next->host]->on_prefilled(next); });
        }
        work();
    });
}

void modelled_fleet::engine::make_step() {
    while (!m_waiting.empty() && m_running.size() < slots) {
        const auto next = find_next();
        // The next prompt begins when the one before it has been read, and nothing overtakes it.
        if ((*next)->unread_tokens > 0 && is_reading()) {
            break;
        }
        m_running.push_back(*next);
        m_waiting.erase(next);
    }
    if (m_running.empty()) {
        return;
    }
    const auto unread =
        std::find_if(m_running.begin(), m_running.end(), [](const auto& item) { return item->unread_tokens > 0; });
    const request_ptr reading = unread == m_running.end() ? nullptr : *unread;
    const std::uint64_t read_tokens = reading == nullptr ? 0 : std::min(reading->unread_tokens, decode_piece_tokens);
    m_is_working = true;
    const duration taken = step_time + step_time_per_stream * static_cast<std::int64_t>(m_running.size()) +
                           get_read_time(read_tokens, decode_tokens_per_ms);
    m_fleet->post(get_time(taken), [this, reading, read_tokens] { end_step(reading, read_tokens); });
}

void modelled_fleet::engine::end_step(const request_ptr& reading, std::uint64_t read_tokens) {
    m_is_working = false;
    for (const request_ptr& stream : m_running) {
        if (stream->has_ended || stream->unread_tokens > 0) {
            continue;
        }
        host& receiver = *m_fleet->m_hosts[stream->host];
        if (!stream->has_first_event) {
            stream->has_first_event = true;
            m_fleet->post(network_time, [&receiver, stream] { receiver.on_first_event(stream); });
        } else if (stream->left_tokens % events_at_once == 1) {
            m_fleet->post(network_time, [&receiver, stream] { receiver.on_events(stream); });
        }
        if (--stream->left_tokens == 0) {
            stream->has_ended = true;
            m_fleet->post(network_time, [&receiver, stream] { receiver.on_end(stream); });
        }
    }
    if (reading != nullptr) {
        reading->unread_tokens -= read_tokens;
    }
    work();
}

} // namespace dragonflywell::testing
