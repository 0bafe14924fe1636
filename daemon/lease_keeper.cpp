#include "daemon/lease_keeper.hpp"

#include "core/error.hpp"
#include "core/log_event.hpp"
#include "daemon/store_topics.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

/// Interval between two checks of the lease; a small fraction of its length.
constexpr duration tick = std::chrono::milliseconds(250);

std::vector<coordination::lease_topic_entry> decode(const platform::store_page& page) {
    std::vector<coordination::lease_topic_entry> records;
    for (const platform::keyed_record& record : page.records) {
        if (!record.value) {
            continue;
        }
        try {
            records.push_back(
                {.offset = record.offset, .record = coordination::decode_store_lease_record(*record.value)});
        } catch (const malformed_message_error&) {
            // A malformed record names no holder, but still moves the end of the topic.
            records.push_back(
                {.offset = record.offset, .record = {.holder = "?", .incarnation = 0, .renewed_fencing_number = {}}});
        }
    }
    return records;
}

} // namespace

lease_keeper::lease_keeper(platform::store_client& store, const clock_source& time,
                           coordination::store_lease_options options)
    : m_store(&store), m_time(&time), m_lease(time, std::move(options)), m_log(get_logger("lease")),
      m_dependency(*m_log, "lease_topic") {}

servers::asio::awaitable<void> lease_keeper::run() {
    for (;;) {
        if (!m_is_busy) {
            co_await step(m_lease.get_next_action());
        }
        report_change();
        co_await servers::sleep_for(tick);
    }
}

servers::asio::awaitable<void> lease_keeper::resign() {
    m_lease.resign();
    if (m_was_held && !m_is_busy) {
        co_await step(m_lease.get_next_action());
    }
    report_change();
}

void lease_keeper::on_superseded() {
    m_lease.on_superseded();
    report_change();
}

servers::asio::awaitable<void> lease_keeper::step(coordination::store_lease::action action) {
    m_is_busy = true;
    try {
        if (action == coordination::store_lease::action::read) {
            co_await read();
        } else if (action == coordination::store_lease::action::append) {
            co_await append();
        }
        if (action != coordination::store_lease::action::nothing) {
            m_dependency.record_success(m_time->now());
        }
    } catch (const platform::store_unavailable_error& fault) {
        m_dependency.record_failure(m_time->now(), fault.what());
    }
    m_is_busy = false;
}

servers::asio::awaitable<void> lease_keeper::read() {
    bool is_dropped = false;
    platform::store_page page;
    try {
        page = co_await m_store->read(topics::lease, m_lease.get_end(), duration::zero());
    } catch (const platform::store_history_dropped_error&) {
        is_dropped = true;
    }
    if (is_dropped) {
        page = co_await m_store->read_newest(topics::lease);
    }
    m_lease.on_read(decode(page), page.next);
}

servers::asio::awaitable<void> lease_keeper::append() {
    const log_position end = m_lease.get_end();
    const std::string text = coordination::encode_store_lease_record(m_lease.start_append());
    try {
        const platform::append_result answer =
            co_await m_store->append(topics::lease, topics::singleton_key, text, end);
        if (answer.position) {
            m_lease.on_appended();
        } else {
            m_lease.on_conflict();
        }
    } catch (const platform::store_unavailable_error&) {
        m_lease.on_result_unknown();
        throw;
    }
}

void lease_keeper::report_change() {
    const bool is_held = m_lease.is_held();
    if (is_held == m_was_held) {
        return;
    }
    m_was_held = is_held;
    log_event(is_held ? "lease_taken" : "lease_lost")
        .add("end", m_lease.get_end().offset)
        .write(*m_log, spdlog::level::info);
}

} // namespace dragonflywell::daemon
