#include "daemon/lease_keeper.hpp"

#include <utility>

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
        // Candidates write under one key. An entry of another writer under another one is no record of a candidate.
        if (record.key != topics::singleton_key || !record.value) {
            continue;
        }
        try {
            records.push_back(
                {.offset = record.offset, .record = coordination::decode_store_lease_record(*record.value)});
        } catch (const malformed_message_error&) {
            // A malformed record names no holder, but still moves the end of the topic.
            records.push_back(
                {.offset = record.offset,
                 .record = {.holder = "?", .incarnation = 0, .renewed_fencing_number = {}, .era = page.next.era}});
        }
    }
    return records;
}

} // namespace

lease_keeper::lease_keeper(platform::store_client& store, const clock_source& time,
                           coordination::store_lease_options options)
    : m_store(&store), m_time(&time), m_lease(time, std::move(options)), m_log(get_logger("lease")),
      m_dependency(*m_log, "lease_topic"), m_subscription(store, *this) {
    m_lease.on_era_changed(m_store->get_era());
}

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
    if (m_reported_term && !m_is_busy) {
        co_await step(m_lease.get_next_action());
    }
    report_change();
}

platform::duty_credentials lease_keeper::make_credentials(std::string holder, std::uint64_t fence) const {
    return {.holder = std::move(holder), .fence = fence, .may_act = [this, fence] {
                return get_fencing_number() == fence;
            }};
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
    // The topic grows with each renewal, so a first read asks for the newest record only.
    bool needs_listing = m_lease.get_end().offset == 0;
    platform::store_page page;
    if (!needs_listing) {
        try {
            page = co_await m_store->read(topics::lease, m_lease.get_end(), duration::zero());
        } catch (const platform::store_history_dropped_error&) {
            needs_listing = true;
        }
    }
    if (needs_listing) {
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
    const std::optional<std::uint64_t> term = m_lease.get_term();
    const log_position& end = m_lease.get_end();
    if (term == m_reported_term && (!term || end.era == m_reported_era)) {
        return;
    }
    const std::string_view event =
        !term ? "lease_lost" : (term == m_reported_term ? "lease_in_new_era" : "lease_taken");
    m_reported_term = term;
    m_reported_era = end.era;
    log_event(event)
        .add("term", term.value_or(0))
        .add("fence", m_lease.get_fencing_number().value_or(0))
        .add("era", end.era)
        .add("end", end.offset)
        .write(*m_log, spdlog::level::info);
}

} // namespace dragonflywell::daemon
