#include "daemon/group_usage_recorder.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "coordination/usage_state.hpp"
#include "core/log_event.hpp"
#include "daemon/store_topics.hpp"
#include "daemon/usage_timing.hpp"

namespace dragonflywell::daemon {

group_usage_recorder::group_usage_recorder(platform::store_client& store, servers::serving_state& state,
                                           duration record_delay)
    : m_store(&store), m_state(&state), m_record_delay(record_delay), m_log(get_logger("usage")),
      m_era(store.get_era()), m_subscription(store, *this) {}

void group_usage_recorder::update(const servers::host_digest& digest) {
    if (digest.usage.empty()) {
        return;
    }
    received_usage& received = m_received[digest.host];
    if (received.incarnation != digest.incarnation) {
        received = {.incarnation = digest.incarnation, .sent_at = {}, .windows = {}};
    }
    received.sent_at = digest.corrected_time;
    for (const auto& [window, counts] : digest.usage) {
        received.windows[window] = counts;
    }
    // A stored copy replaces the earlier one as a whole, and a window may be reported late, so that older windows are
    // still needed in it.
    const std::int64_t oldest = received.windows.rbegin()->first - retained_usage_windows + 1;
    received.windows.erase(received.windows.begin(), received.windows.lower_bound(oldest));
}

std::optional<group_usage_recorder::received_usage> group_usage_recorder::remove_host(const std::string& host) {
    const auto found = m_received.find(host);
    if (found == m_received.end()) {
        return std::nullopt;
    }
    received_usage received = std::move(found->second);
    m_received.erase(found);
    return received;
}

void group_usage_recorder::record_if_due() {
    const std::int64_t window = m_state->usage.get_window(m_state->get_corrected_time() - m_record_delay) - 1;
    if (window <= m_last_tried || m_received.empty()) {
        return;
    }
    m_last_tried = window;
    boost::asio::co_spawn(m_state->executor, record(window), boost::asio::detached);
}

void group_usage_recorder::on_era_changed(std::uint64_t era) {
    m_era = era;
    m_recorded.reset();
    m_last_tried = 0;
}

servers::asio::awaitable<void> group_usage_recorder::record(std::int64_t window) {
    const wall_time fully_counted_at = m_state->usage.get_end(window) + usage_settle_time;
    servers::digest_recorded_usage recorded{.window = window, .incarnations = {}, .era = m_era};
    std::vector<platform::keyed_value> records;
    for (const auto& [host, received] : m_received) {
        // Counts that were sent before the window was fully counted may still grow.
        if (received.sent_at < fully_counted_at) {
            continue;
        }
        coordination::usage_record record{.windows = {}, .closed = window};
        for (const auto& [number, counts] : received.windows) {
            record.windows.emplace(number, counts);
        }
        records.push_back({.key = coordination::make_usage_copy_key(host, received.incarnation),
                           .value = coordination::encode_usage_record(record)});
        recorded.incarnations.push_back({.host = host, .incarnation = received.incarnation});
    }
    if (records.empty()) {
        co_return;
    }
    try {
        const platform::append_result answer = co_await m_store->append_all(topics::usage, records);
        recorded.era = answer.end.era;
        if (is_current(recorded)) {
            m_recorded = std::move(recorded);
        }
    } catch (const platform::store_unavailable_error& fault) {
        // Each of the hosts then records its own usage.
        log_event("group_usage_failed")
            .add("window", window)
            .add("hosts", records.size())
            .add("reason", fault.what())
            .write(*m_log, spdlog::level::warn);
    }
}

} // namespace dragonflywell::daemon
