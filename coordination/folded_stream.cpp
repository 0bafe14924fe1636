#include "coordination/folded_stream.hpp"

#include <utility>

namespace dragonflywell::coordination {

namespace {

constexpr std::size_t records_per_read = 1000;

} // namespace

folded_stream::folded_stream(append_log& log, std::string name, writer_id self)
    : m_log(&log), m_name(std::move(name)), m_self(std::move(self)) {}

void folded_stream::add_observer(record_observer& observer) {
    m_observers.push_back(&observer);
}

void folded_stream::poll() {
    while (true) {
        const log_batch batch = m_log->read(m_name, m_next, records_per_read);
        for (const log_entry& entry : batch.entries) {
            apply(entry);
            m_next = entry.offset + 1;
        }
        if (m_next >= batch.end || batch.entries.empty()) {
            return;
        }
    }
}

std::vector<submission> folded_stream::submit(std::span<const record_draft> drafts) {
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
    std::vector<submission> results;
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
    const record_verdict verdict = m_fold.apply(entry.offset, value);
    if (value.writer == m_self && verdict != record_verdict::duplicate) {
        m_own_results[value.sequence] = {.offset = entry.offset, .verdict = verdict};
    }
    if (verdict != record_verdict::valid) {
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
