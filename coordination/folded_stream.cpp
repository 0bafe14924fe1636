#include "coordination/folded_stream.hpp"

#include <utility>

#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::size_t records_per_read = 1000;

} // namespace

folded_stream::folded_stream(append_log& log, std::string name, writer_id self)
    : m_log(&log), m_name(std::move(name)), m_self(std::move(self)) {}

void folded_stream::add_observer(record_observer& observer) {
    m_observers.push_back(&observer);
}

void folded_stream::add_observer(snapshot_observer& observer) {
    m_observers.push_back(&observer);
    m_parts.push_back(&observer);
}

void folded_stream::poll() {
    while (true) {
        const log_batch batch = m_log->read(m_name, m_next, records_per_read);
        if (batch.oldest > m_next) {
            cross_gap(batch.oldest);
            continue;
        }
        for (const log_entry& entry : batch.entries) {
            if (entry.offset != m_next) {
                throw log_gap_error("stream " + m_name + " was answered without record " + std::to_string(m_next));
            }
            apply(entry);
            m_next = entry.offset + 1;
        }
        if (m_next >= batch.end || batch.entries.empty()) {
            return;
        }
    }
}

fold_snapshot folded_stream::take_snapshot() const {
    boost::json::object states;
    for (const snapshot_observer* part : m_parts) {
        states[part->get_state_name()] = part->save_state();
    }
    const boost::json::object state{
        {"format", snapshot_format}, {"fold", m_fold.save()}, {"observers", std::move(states)}};
    return {.stream = m_name, .end_offset = m_next, .state = boost::json::serialize(state)};
}

bool folded_stream::restore(const fold_snapshot& snapshot) {
    if (snapshot.stream != m_name || snapshot.end_offset <= m_next) {
        return false;
    }
    const boost::json::value document = json::parse(snapshot.state);
    const boost::json::object& state = json::as_object(document, "snapshot");
    if (json::get_unsigned(state, "format") != snapshot_format) {
        throw malformed_message_error("snapshot of " + m_name + " has another format");
    }
    record_fold fold = record_fold::restore(json::get_object(state, "fold"));
    restore_observers(json::get_object(state, "observers"));
    m_fold = std::move(fold);
    m_next = snapshot.end_offset;
    return true;
}

bool folded_stream::start_from(snapshot_source& source) {
    const std::optional<fold_snapshot> snapshot = source.get_snapshot(m_name);
    return snapshot && restore(*snapshot);
}

void folded_stream::restore_observers(const boost::json::object& states) {
    std::vector<std::pair<snapshot_observer*, boost::json::value>> replaced;
    try {
        for (snapshot_observer* part : m_parts) {
            const boost::json::value* state = states.if_contains(part->get_state_name());
            if (state == nullptr) {
                throw malformed_message_error("snapshot has no state of " + std::string(part->get_state_name()));
            }
            boost::json::value before = part->save_state();
            part->restore_state(*state);
            replaced.emplace_back(part, std::move(before));
        }
    } catch (const malformed_message_error&) {
        for (const auto& [part, before] : replaced) {
            part->restore_state(before);
        }
        throw;
    }
}

void folded_stream::cross_gap(log_offset oldest) {
    if (m_allows_gaps) {
        m_next = oldest;
        return;
    }
    const std::string gap = "stream " + m_name + " has no record " + std::to_string(m_next) + " any more";
    if (!has_snapshots()) {
        throw log_gap_error(gap + " and its reader takes no snapshots");
    }
    const std::optional<fold_snapshot> snapshot = read_newest_snapshot(*m_log, m_name, oldest);
    if (!snapshot) {
        throw log_gap_error(gap + " and no snapshot covers it");
    }
    try {
        restore(*snapshot);
    } catch (const malformed_message_error& fault) {
        throw log_gap_error(gap + " and its snapshot cannot be used: " + fault.what());
    }
}

std::vector<submit_result> folded_stream::submit(std::span<const record_draft> drafts) {
    std::vector<std::string> encoded;
    const std::uint64_t first_sequence = m_last_sequence + 1;
    for (const record_draft& draft : drafts) {
        encoded.push_back(encode_record({.writer = m_self,
                                         .sequence = ++m_last_sequence,
                                         .condition = draft.condition,
                                         .fence = draft.fence,
                                         .type = draft.type,
                                         .body = draft.body}));
    }
    m_own_results.clear();
    try {
        m_log->append(m_name, encoded);
    } catch (const log_unavailable_error&) { // NOLINT(bugprone-empty-catch)
        // The answer may be lost after the effect: what the stream holds decides.
    }
    poll();
    std::vector<submit_result> results;
    for (std::uint64_t sequence = first_sequence; sequence <= m_last_sequence; ++sequence) {
        const auto found = m_own_results.find(sequence);
        if (found == m_own_results.end()) {
            throw log_unavailable_error("record was appended but not read back from stream " + m_name);
        }
        results.push_back(found->second);
    }
    return results;
}

void folded_stream::apply(const log_entry& entry) {
    record value;
    try {
        value = decode_record(entry.data);
    } catch (const malformed_message_error&) {
        ++m_malformed;
        return;
    }
    const record_status verdict = m_fold.apply(entry.offset, value);
    if (value.writer == m_self && verdict != record_status::duplicate) {
        m_own_results[value.sequence] = {.offset = entry.offset, .status = verdict};
    }
    if (verdict != record_status::valid) {
        return;
    }
    for (record_observer* observer : m_observers) {
        try {
            observer->on_record(entry.offset, value);
        } catch (const malformed_message_error&) {
            ++m_malformed;
        }
    }
}

} // namespace dragonflywell::coordination
