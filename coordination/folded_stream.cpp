#include "coordination/folded_stream.hpp"

#include <utility>

#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::size_t records_per_read = 1000;

} // namespace

folded_stream::folded_stream(append_log& log, std::string name, writer_id self)
    : m_log(&log), m_name(std::move(name)), m_writer(std::move(self)) {}

void folded_stream::add_observer(record_observer& observer) {
    m_observers.push_back(&observer);
}

void folded_stream::add_observer(snapshot_observer& observer) {
    m_observers.push_back(&observer);
    m_snapshot_observers.push_back(&observer);
}

void folded_stream::poll() {
    while (true) {
        const log_batch batch = m_log->read(m_name, m_next_offset, records_per_read);
        if (batch.oldest > m_next_offset) {
            recover_from_gap(batch.oldest);
            continue;
        }
        for (const log_entry& entry : batch.entries) {
            if (entry.offset != m_next_offset) {
                throw log_gap_error("a read of stream " + m_name + " skipped record " + std::to_string(m_next_offset));
            }
            apply(entry);
            m_next_offset = entry.offset + 1;
        }
        if (m_next_offset >= batch.end || batch.entries.empty()) {
            return;
        }
    }
}

fold_snapshot folded_stream::take_snapshot() const {
    boost::json::object states;
    for (const snapshot_observer* observer : m_snapshot_observers) {
        states[observer->get_state_name()] = observer->save_state();
    }
    const boost::json::object state{
        {"format", snapshot_format}, {"fold", m_fold.save()}, {"observers", std::move(states)}};
    return {.stream = m_name, .end_offset = m_next_offset, .state = boost::json::serialize(state)};
}

bool folded_stream::restore(const fold_snapshot& snapshot) {
    if (snapshot.stream != m_name || snapshot.end_offset <= m_next_offset) {
        return false;
    }
    const boost::json::value document = json::parse(snapshot.state);
    const boost::json::object& state = json::as_object(document, "snapshot");
    if (json::get_unsigned(state, "format") != snapshot_format) {
        throw malformed_message_error("snapshot of " + m_name + " has an unsupported format");
    }
    record_fold fold = record_fold::restore(json::get_object(state, "fold"));
    restore_observers(json::get_object(state, "observers"));
    m_fold = std::move(fold);
    m_next_offset = snapshot.end_offset;
    return true;
}

bool folded_stream::start_from(snapshot_source& source) {
    const std::optional<fold_snapshot> snapshot = source.get_snapshot(m_name);
    return snapshot && restore(*snapshot);
}

void folded_stream::restore_observers(const boost::json::object& states) {
    std::vector<std::pair<snapshot_observer*, boost::json::value>> replaced;
    try {
        for (snapshot_observer* observer : m_snapshot_observers) {
            const boost::json::value* state = states.if_contains(observer->get_state_name());
            if (state == nullptr) {
                throw malformed_message_error("snapshot does not contain the state of " +
                                              std::string(observer->get_state_name()));
            }
            boost::json::value before = observer->save_state();
            observer->restore_state(*state);
            replaced.emplace_back(observer, std::move(before));
        }
    } catch (const malformed_message_error&) {
        for (const auto& [observer, before] : replaced) {
            observer->restore_state(before);
        }
        throw;
    }
}

void folded_stream::recover_from_gap(log_offset oldest) {
    if (m_allows_gaps) {
        m_next_offset = oldest;
        return;
    }
    const std::string gap =
        "stream " + m_name + ": record " + std::to_string(m_next_offset) + " was deleted by retention";
    if (!has_snapshots()) {
        throw log_gap_error(gap + " and its reader does not support snapshots");
    }
    const std::optional<fold_snapshot> snapshot = read_newest_snapshot(*m_log, m_name, oldest);
    if (!snapshot) {
        throw log_gap_error(gap + " and no snapshot covers it");
    }
    try {
        restore(*snapshot);
    } catch (const malformed_message_error& fault) {
        throw log_gap_error(gap + " and its newest snapshot is invalid: " + fault.what());
    }
}

std::vector<submit_result> folded_stream::submit(std::span<const record_draft> drafts) {
    std::vector<std::string> encoded;
    const std::uint64_t first_sequence = m_last_sequence + 1;
    for (const record_draft& draft : drafts) {
        encoded.push_back(encode_record({.writer = m_writer,
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
        // The response may be lost after the append took effect. What the stream contains decides.
    }
    poll();
    std::vector<submit_result> results;
    for (std::uint64_t sequence = first_sequence; sequence <= m_last_sequence; ++sequence) {
        const auto found = m_own_results.find(sequence);
        if (found == m_own_results.end()) {
            throw log_unavailable_error("submitted record could not be read back from stream " + m_name);
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
        ++m_malformed_count;
        return;
    }
    const record_status status = m_fold.apply(entry.offset, value);
    if (value.writer == m_writer && status != record_status::duplicate) {
        m_own_results[value.sequence] = {.offset = entry.offset, .status = status};
    }
    if (status != record_status::valid) {
        return;
    }
    for (record_observer* observer : m_observers) {
        try {
            observer->on_record(entry.offset, value);
        } catch (const malformed_message_error&) {
            ++m_malformed_count;
        }
    }
}

} // namespace dragonflywell::coordination
