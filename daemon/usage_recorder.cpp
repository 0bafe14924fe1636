#include "daemon/usage_recorder.hpp"

#include <algorithm>

#include "coordination/usage_state.hpp"
#include "core/log_event.hpp"
#include "daemon/store_topics.hpp"
#include "daemon/usage_timing.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

/// Interval between two checks whether the group leader has recorded a window.
constexpr duration leader_check_interval = std::chrono::milliseconds(400);
/// Longest wait before the wall clock is read again, so that a clock step does not prolong the wait for a window's end.
constexpr duration max_wait = std::chrono::seconds(1);

} // namespace

usage_recorder::usage_recorder(platform::store_client& store, servers::serving_state& state, const std::string& host,
                               std::uint64_t incarnation)
    : m_store(&store), m_state(&state), m_key(coordination::make_usage_key(host, incarnation)),
      m_recorded(get_current_window() - 1), m_era(store.get_era()), m_era_known_since(state.time.now()),
      m_log(get_logger("usage")), m_dependency(*m_log, "usage_topic"), m_subscription(store, *this) {}

servers::asio::awaitable<void> usage_recorder::run() {
    m_recorded = get_current_window() - 1;
    for (;;) {
        const wall_time due = m_state->usage.get_end(m_recorded + 1) + usage_settle_time;
        const duration wait = due - m_state->get_corrected_time();
        if (wait > duration::zero()) {
            co_await servers::sleep_for(std::min(wait, max_wait));
            continue;
        }
        const std::int64_t closed = get_current_window() - 1;
        using choice = policy::usage_delegation::choice;
        if (!has_counts(closed)) {
            m_recorded = closed;
            continue;
        }
        const choice chosen = m_state->delegation.choose(closed, m_recorded, get_time_to_record(closed));
        if (chosen == choice::wait) {
            co_await servers::sleep_for(leader_check_interval);
            continue;
        }
        const std::uint64_t era = m_era;
        bool is_recorded = chosen == choice::is_recorded;
        try {
            if (!is_recorded) {
                co_await record(closed);
                m_dependency.record_success(m_state->time.now());
            }
            is_recorded = true;
        } catch (const platform::store_unavailable_error& fault) {
            m_dependency.record_failure(m_state->time.now(), fault.what());
        }
        if (is_recorded && era != m_era) {
            // It may have been written before the store returned from an older copy.
            continue;
        }
        if (is_recorded) {
            m_recorded = closed;
            m_state->usage.forget_before(closed - retained_usage_windows);
        } else {
            co_await m_store->wait_until_call_allowed();
        }
    }
}

bool usage_recorder::has_counts(std::int64_t closed) const {
    const auto& windows = m_state->usage.get_windows();
    return std::any_of(windows.begin(), windows.end(), [&](const auto& item) {
        return item.first > m_recorded && item.first <= closed && !item.second.empty();
    });
}

servers::asio::awaitable<void> usage_recorder::record_last() {
    try {
        co_await record(get_current_window());
    } catch (const platform::store_unavailable_error& fault) {
        log_event("usage_lost").add("reason", fault.what()).write(*m_log, spdlog::level::err);
    }
}

servers::asio::awaitable<void> usage_recorder::record(std::int64_t closed) {
    coordination::usage_record record{.windows = {}, .closed = closed};
    for (const auto& [window, counts] : m_state->usage.get_windows()) {
        record.windows.emplace(window, counts);
    }
    co_await m_store->append(topics::usage, m_key, coordination::encode_usage_record(record));
}

void usage_recorder::on_era_changed(std::uint64_t era) {
    const bool is_first = era == m_store->get_first_era();
    m_era = era;
    if (is_first) {
        return;
    }
    m_era_known_since = m_state->time.now();
    m_state->delegation.forget_recorded();
    m_recorded = std::min(m_recorded, get_current_window() - 2);
    log_event("usage_recorded_again").add("era", era).write(*m_log, spdlog::level::info);
}

duration usage_recorder::get_time_to_record(std::int64_t closed) const {
    const duration since_end = m_state->get_corrected_time() - m_state->usage.get_end(closed);
    return std::min(since_end, m_state->time.now() - m_era_known_since);
}

std::int64_t usage_recorder::get_current_window() const {
    return m_state->usage.get_window(m_state->get_corrected_time());
}

} // namespace dragonflywell::daemon
