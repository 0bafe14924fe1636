#include "daemon/server_list.hpp"

#include <fmt/format.h>
#include <set>

#include "core/error.hpp"
#include "core/hash.hpp"
#include "core/text.hpp"
#include "platform/server_record_decoder.hpp"

namespace dragonflywell::daemon {

namespace {

/// Shortest time between two listings because the list differs from the leader's.
constexpr duration comparison_interval = std::chrono::seconds(10);
/// Limit on the changes that are kept for hosts that have missed them: more than the entries of the largest fleet.
constexpr std::size_t max_changes = 4096;
/// State of an entry that cannot be decoded.
constexpr std::uint64_t rejected_state = 1;

/// Returns a hash of what an entry states that affects requests. A remaining time that has merely decreased is no
/// change.
std::uint64_t get_state(const fleet::server_record& record) {
    const bool is_warming_up = record.warmup_left > duration::zero();
    return get_stable_hash(fmt::format("{} {} {} {} {} {} {} {} {}", record.service.value(),
                                       format_endpoint(record.address), record.zone.value(), record.slots,
                                       record.is_draining, record.stage ? static_cast<int>(*record.stage) : -1,
                                       record.is_cheap, record.started_at_ms, is_warming_up));
}

} // namespace

server_list::server_list(policy::server_eligibility& eligibility, server_list_listener& listener, duration bound)
    : m_eligibility(&eligibility), m_listener(&listener), m_schedule(bound) {}

server_list::pending_read server_list::begin_read(steady_time now) {
    const bool is_repeated = m_schedule.begin_read(now);
    return {.from = m_topic.get_next_position(), .sent_at = now, .is_repeated = is_repeated};
}

server_list::page_result server_list::end_read(const pending_read& read, const platform::store_page& page,
                                               steady_time now) {
    m_schedule.end_read();
    m_relayed_page.reset();
    get_contact().record_success(read.sent_at);
    const std::uint64_t generation = m_eligibility->get_list().get_generation();
    const std::optional<log_position> before = m_topic.get_next_position();
    if (!read.from) {
        if (m_topic.is_stale_listing(page.next)) {
            m_schedule.pause(now);
            return page_result::outdated;
        }
        apply_listing(page, now);
    } else if (!m_topic.is_connected(*read.from)) {
        return page_result::outdated;
    } else {
        std::vector<platform::keyed_record> changes = apply_new_records(page, now);
        if (page.next > *before) {
            m_relayed_page = relayed_page{.from = *before,
                                          .page = {.records = std::move(changes), .next = page.next, .end = page.end}};
        }
    }
    m_topic.record_read(page.next, page.end, read.sent_at);
    finish(generation, page.next, now);
    const bool is_complete = !m_topic.is_lagging() && !m_schedule.has_gap();
    if (!is_complete && m_topic.get_next_position() == before) {
        // While the store answers with stale state, reading it again at once returns nothing new.
        m_schedule.pause(now);
    }
    return page_result::applied;
}

void server_list::drop_position(steady_time now) {
    m_schedule.end_read();
    if (!m_topic.get_next_position()) {
        m_schedule.pause(now);
    }
    m_topic.record_truncation();
}

server_list::page_result server_list::apply_relayed(const log_position& from, const platform::store_page& page,
                                                    steady_time read_at, steady_time now) {
    if (!m_topic.is_connected(from)) {
        const log_position known =
            m_topic.get_next_position().value_or(log_position{.era = m_topic.get_era(), .offset = 0});
        if (page.next <= known) {
            return page_result::outdated;
        }
        m_schedule.note_gap(page.next, now);
        return page_result::gap;
    }
    // The sender of a relayed page reached the store at that time.
    get_contact().record_success(read_at);
    const std::uint64_t generation = m_eligibility->get_list().get_generation();
    apply_new_records(page, now);
    // The list is current only with the last part of a page. The others are on their way.
    const bool is_last = page.next >= page.end;
    m_topic.record_read(page.next, page.next, is_last ? read_at : m_topic.get_caught_up_at());
    finish(generation, page.next, now);
    return page_result::applied;
}

void server_list::update_leader_position(const servers::digest_read_position& position, steady_time now) {
    const log_position end = position.end.value_or(log_position());
    const steady_time read_at = now - position.age;
    const std::optional<log_position> own = m_topic.get_next_position();
    if (end > own.value_or(log_position())) {
        m_schedule.note_gap(end, now);
    } else {
        m_topic.update_leader_position(end, position.age, now);
        m_eligibility->set_list_current_at(m_topic.get_caught_up_at());
    }
    // The group leader reached the store at that time, so the list counts as available on this host, too.
    get_contact().record_success(read_at);
    drop_expired(now);
    const bool is_comparable = own == end && position.checksum != 0 && now >= m_next_comparison_at;
    if (is_comparable && position.checksum != m_checksum.get()) {
        m_next_comparison_at = now + comparison_interval;
        m_listener->on_list_differs(end);
        m_topic.record_truncation();
    }
}

bool server_list::note_era(std::uint64_t era, steady_time now) {
    if (!m_topic.note_era(era)) {
        return false;
    }
    if (m_is_loaded) {
        get_contact().record_restored(now);
    }
    return true;
}

servers::digest_read_position server_list::get_read_position(steady_time now) const {
    return {.end = m_topic.get_next_position(),
            .age = m_topic.get_staleness(now),
            .checksum = m_is_loaded ? m_checksum.get() : 0};
}

std::vector<platform::keyed_record> server_list::apply_new_records(const platform::store_page& page, steady_time now) {
    std::vector<platform::keyed_record> changes;
    const std::uint64_t first_new = m_topic.get_next_position()->offset;
    for (const platform::keyed_record& record : page.records) {
        if (record.offset < first_new) {
            continue;
        }
        if (std::optional<platform::keyed_record> change = apply(record, page.next.era, now)) {
            keep_change(*change);
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

void server_list::apply_listing(const platform::store_page& page, steady_time now) {
    if (page.next.era > m_copied_until.era) {
        m_copied_until = page.next;
    }
    m_checksum.clear();
    m_changes.clear();
    m_change_offsets.clear();
    m_changes_from = page.next;
    std::set<backend_server_name> listed;
    for (const platform::keyed_record& record : page.records) {
        apply(record, page.next.era, now);
        if (record.value) {
            listed.insert(backend_server_name(record.key));
        }
    }
    for (const backend_server_name& server : m_eligibility->get_list().retain(listed, now)) {
        m_listener->on_entry(server, fleet::directory_change::removed);
    }
}

void server_list::keep_change(const platform::keyed_record& record) {
    if (const auto before = m_change_offsets.find(record.key); before != m_change_offsets.end()) {
        m_changes.erase(before->second);
    }
    m_change_offsets.insert_or_assign(record.key, record.offset);
    m_changes.insert_or_assign(record.offset, record);
    if (m_changes.size() > max_changes) {
        const auto oldest = m_changes.begin();
        m_changes_from.offset = oldest->first + 1;
        m_change_offsets.erase(oldest->second.key);
        m_changes.erase(oldest);
    }
}

std::optional<server_list::relayed_page> server_list::get_changes_since(const log_position& from) const {
    const std::optional<log_position> own = m_topic.get_next_position();
    if (!own || own->era != from.era || from >= *own || from < m_changes_from) {
        return std::nullopt;
    }
    relayed_page changes{.from = from, .page = {.records = {}, .next = *own, .end = *own}};
    for (auto change = m_changes.lower_bound(from.offset); change != m_changes.end(); ++change) {
        changes.page.records.push_back(change->second);
    }
    return changes;
}

std::optional<platform::keyed_record> server_list::apply(const platform::keyed_record& record, std::uint64_t era,
                                                         steady_time now) {
    // No server has such a name, and digests and relayed records could not hold it.
    if (!is_entry_name(record.key)) {
        m_listener->on_entry_rejected(record, "the key is no name");
        return std::nullopt;
    }
    if (!record.value) {
        const backend_server_name server(record.key);
        m_listener->on_entry_removed(server, m_eligibility->get_list().remove(server, now));
        return m_checksum.erase(record.key) ? std::optional(record) : std::nullopt;
    }
    try {
        return apply_entry(record, era, now) ? std::optional(record) : std::nullopt;
    } catch (const malformed_message_error& fault) {
        m_listener->on_entry_rejected(record, fault.what());
        if (!m_checksum.set(record.key, rejected_state)) {
            return std::nullopt;
        }
        // Others reject an empty entry as well, while its value may be long, or bytes that a datagram cannot hold.
        return platform::keyed_record{.offset = record.offset, .key = record.key, .value = ""};
    }
}

bool server_list::apply_entry(const platform::keyed_record& record, std::uint64_t era, steady_time now) {
    const fleet::server_record decoded = platform::decode_server_record(record.key, *record.value);
    const bool may_be_copied = log_position{.era = era, .offset = record.offset} < m_copied_until;
    fleet::server_directory& list = m_eligibility->get_list();
    m_listener->on_entry(decoded.id, may_be_copied ? list.apply_copied(decoded, now) : list.apply(decoded, now));
    return m_checksum.set(record.key, get_state(decoded));
}

void server_list::finish(std::uint64_t generation_before, const log_position& next, steady_time now) {
    m_schedule.note_progress(next);
    m_eligibility->set_list_current_at(m_topic.get_caught_up_at());
    m_is_loaded = true;
    if (m_eligibility->get_list().get_generation() != generation_before) {
        m_listener->on_list_changed();
    }
    drop_expired(now);
}

void server_list::drop_expired(steady_time now) {
    const std::vector<backend_server_name> expired = m_eligibility->get_list().expire(now);
    for (const backend_server_name& server : expired) {
        m_listener->on_entry(server, fleet::directory_change::removed);
    }
    if (!expired.empty()) {
        m_listener->on_list_changed();
    }
}

} // namespace dragonflywell::daemon
