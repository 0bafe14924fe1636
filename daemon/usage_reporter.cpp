#include "daemon/usage_reporter.hpp"

#include <algorithm>

#include "core/error.hpp"
#include "core/log_event.hpp"
#include "daemon/store_topics.hpp"
#include "daemon/usage_timing.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr duration tick = std::chrono::milliseconds(250);
/// Windows older than this many can no longer be reported in time, and hosts no longer keep their counts.
constexpr coordination::usage_window_number max_late_windows = 4;
/// Largest number of windows whose reports are kept for a retry.
constexpr std::size_t max_pending_windows = 8;
/// Clocks of hosts differ by less than this, so another host may have made a window final that much earlier.
constexpr duration max_clock_difference = std::chrono::milliseconds(300);

} // namespace

usage_reporter::usage_reporter(platform::store_client& store, platform::cloud_client& cloud, lease_keeper& lease,
                               servers::serving_state& state, metrics_registry& metrics, std::string host, duration due)
    : m_store(&store), m_cloud(&cloud), m_lease(&lease), m_state(&state), m_host(std::move(host)),
      m_finalize_delay(make_usage_timing(due).finalize_delay), m_log(get_logger("usage")),
      m_skipped_windows(&metrics.get_counter("dragonflywell_usage_windows_skipped_total")) {}

servers::asio::awaitable<void> usage_reporter::run() {
    for (;;) {
        co_await servers::sleep_for(tick);
        const std::optional<std::uint64_t> fence = m_lease->get_fencing_number();
        if (fence != m_fence) {
            m_fence = fence;
            m_report_state.reset();
        }
        if (!fence) {
            continue;
        }
        try {
            co_await report_due();
        } catch (const platform::store_unavailable_error& fault) {
            // It is unknown whether the report state was written, so it is read again.
            m_report_state.reset();
            log_event("report_delayed").add("reason", fault.what()).write(*m_log, spdlog::level::warn);
        }
    }
}

servers::asio::awaitable<void> usage_reporter::report_due() {
    if (!m_report_state) {
        const bool is_read = co_await read_report_state();
        if (!is_read) {
            co_return;
        }
    }
    if (has_due()) {
        const bool is_finalized = co_await finalize_due();
        if (!is_finalized) {
            m_report_state.reset();
            co_return;
        }
    }
    co_await send_pending();
}

servers::asio::awaitable<bool> usage_reporter::read_report_state() {
    const std::optional<std::uint64_t> term = m_lease->get_term();
    const platform::store_page page = co_await m_store->read_newest(topics::reports);
    if (!term || m_lease->get_term() != term) {
        co_return false;
    }
    const bool is_first_era = page.next.era == m_store->get_first_era();
    bool has_record = false;
    coordination::report_state state;
    for (const platform::keyed_record& record : page.records) {
        if (record.key != topics::singleton_key || !record.value) {
            continue;
        }
        has_record = true;
        try {
            state = coordination::decode_report_state(*record.value);
        } catch (const malformed_message_error& fault) {
            log_event("report_book_rejected").add("reason", fault.what()).write(*m_log, spdlog::level::err);
        }
    }
    const bool is_first = !has_record && is_first_era && page.next.era <= max_first_log_era;
    if (!is_first_era && m_report_state_end.era != page.next.era) {
        m_era_known_since = m_state->time.now();
    }
    m_report_state_end = page.next;
    if (state.era != page.next.era && !is_first) {
        co_return co_await recover_report_state(state);
    }
    m_history.record(state, *term);
    m_report_state = std::move(state);
    co_return true;
}

servers::asio::awaitable<bool> usage_reporter::recover_report_state(const coordination::report_state& stored) {
    const std::optional<std::uint64_t> term = m_lease->get_term();
    if (!term) {
        co_return false;
    }
    const std::uint64_t era = m_report_state_end.era;
    const wall_time latest_clock = m_state->get_corrected_time() + max_clock_difference;
    coordination::recovered_report_state recovered =
        m_history.recover(stored, {.term = *term, .era = era, .newest_due = get_newest_due(latest_clock)});
    const bool is_stored = co_await store_report_state(std::move(recovered.state));
    log_event("report_state_recovered")
        .add("era", era)
        .add("stored_era", stored.era)
        .add("stored_last", stored.last.value_or(0))
        .add("last", is_stored ? m_report_state->last.value_or(0) : 0)
        .add("pending", is_stored ? m_report_state->pending.size() : 0)
        .add("skipped_from", recovered.skipped.empty() ? 0 : recovered.skipped.front())
        .add("skipped", recovered.skipped.size())
        .add("reason", recovered.skipped.empty() ? "known" : "may have been reported in an earlier era")
        .add("stored", is_stored)
        .write(*m_log, spdlog::level::warn);
    if (is_stored) {
        m_skipped_windows->add(recovered.skipped.size());
    }
    co_return is_stored;
}

bool usage_reporter::has_due() const {
    if (m_era_known_since && m_state->time.now() - *m_era_known_since < usage_rewrite_time) {
        return false;
    }
    return !m_report_state->last || *m_report_state->last < get_newest_due(m_state->get_corrected_time());
}

coordination::usage_window_number usage_reporter::get_newest_due(wall_time now) const {
    return m_state->usage.get_window(now - m_finalize_delay) - 1;
}

std::vector<coordination::usage_record> usage_reporter::gather_records(const platform::store_page& page) const {
    std::map<std::string, coordination::usage_record, std::less<>> by_owner;
    const auto add = [&](std::string owner, const coordination::usage_record& record) {
        const auto [found, is_new] = by_owner.try_emplace(std::move(owner), record);
        if (!is_new) {
            found->second = coordination::merge_usage_records(found->second, record);
        }
    };
    for (const platform::keyed_record& record : page.records) {
        if (!record.value || record.value->empty()) {
            continue;
        }
        try {
            add(std::string(coordination::get_usage_owner(record.key)),
                coordination::decode_usage_record(*record.value));
        } catch (const malformed_message_error& fault) {
            log_event("usage_record_rejected")
                .add("key", record.key)
                .add("reason", fault.what())
                .write(*m_log, spdlog::level::err);
        }
    }
    // Digests contain the counts of hosts that were killed or cannot reach the store.
    for (const auto& [owner, windows] : m_state->peers.get_usage()) {
        add(coordination::make_usage_key(owner.first, owner.second), {.windows = windows, .closed = 0});
    }
    std::vector<coordination::usage_record> records;
    records.reserve(by_owner.size());
    for (auto& [owner, record] : by_owner) {
        records.push_back(std::move(record));
    }
    return records;
}

servers::asio::awaitable<bool> usage_reporter::finalize_due() {
    const coordination::usage_window_number newest = get_newest_due(m_state->get_corrected_time());
    const platform::store_page page = co_await m_store->read_newest(topics::usage);
    const std::vector<coordination::usage_record> records = gather_records(page);
    coordination::report_state next = *m_report_state;
    const auto first = std::max(next.last ? *next.last + 1 : newest, newest - max_late_windows);
    for (coordination::usage_window_number window = first; window <= newest; ++window) {
        next.pending.push_back(coordination::sum_window(records, window));
    }
    next.era = m_report_state_end.era;
    next.settled = next.last;
    next.last = newest;
    if (next.pending.size() > max_pending_windows) {
        next.pending.erase(next.pending.begin(), next.pending.end() - static_cast<std::ptrdiff_t>(max_pending_windows));
    }
    co_return co_await store_report_state(std::move(next));
}

servers::asio::awaitable<bool> usage_reporter::store_report_state(coordination::report_state next) {
    const std::optional<std::uint64_t> term = m_lease->get_term();
    const platform::append_result answer = co_await m_store->append(
        topics::reports, topics::singleton_key, coordination::encode_report_state(next), m_report_state_end);
    // Without the lease, or in another term, another host may be the one to go on.
    if (!answer.position || !term || m_lease->get_term() != term) {
        co_return false;
    }
    m_history.record(next, *term);
    m_report_state = std::move(next);
    m_report_state_end = answer.end;
    co_return true;
}

servers::asio::awaitable<void> usage_reporter::send_pending() {
    while (!m_report_state->pending.empty()) {
        const std::optional<std::uint64_t> fence = m_lease->get_fencing_number();
        if (!fence || fence != m_fence) {
            co_return;
        }
        const coordination::window_usage figures = m_report_state->pending.front();
        const platform::duty_credentials authority = m_lease->make_credentials(m_host, *fence);
        const platform::duty_call_result answer = co_await m_cloud->report_usage(authority, figures);
        log_event("usage_reported")
            .add("window", figures.window)
            .add("fence", *fence)
            .add("organisations", figures.counts.size())
            .add("accepted", answer == platform::duty_call_result::accepted)
            .write(*m_log, spdlog::level::info);
        if (answer == platform::duty_call_result::superseded) {
            m_lease->on_superseded();
            co_return;
        }
        if (answer != platform::duty_call_result::accepted) {
            co_return;
        }
        // The removal is stored with the next window; until then a later lease holder may report the same figures
        // again.
        m_report_state->pending.erase(m_report_state->pending.begin());
    }
}

} // namespace dragonflywell::daemon
