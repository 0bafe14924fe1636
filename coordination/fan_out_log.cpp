#include "coordination/fan_out_log.hpp"

#include <algorithm>

namespace dragonflywell::coordination {

namespace {

/// Tells whether the batch starts at `from`, has records and no gap.
bool continues(const log_batch& batch, log_offset from) {
    if (batch.entries.empty()) {
        return false;
    }
    for (const log_entry& entry : batch.entries) {
        if (entry.offset != from) {
            return false;
        }
        ++from;
    }
    return true;
}

} // namespace

log_offset fan_out_log::append(std::string_view stream, std::span<const std::string> records) {
    return m_own->append(stream, records);
}

log_batch fan_out_log::read(std::string_view stream, log_offset from, std::size_t most) {
    if (!m_relay->is_reader(stream)) {
        std::optional<log_batch> relayed = read_relayed(stream, from, most);
        if (relayed) {
            return *std::move(relayed);
        }
    }
    ++m_direct_reads;
    log_batch batch = m_own->read(stream, from, most);
    m_relay->on_read(stream, batch, true);
    return batch;
}

std::optional<log_batch> fan_out_log::read_relayed(std::string_view stream, log_offset from, std::size_t most) {
    const std::optional<log_offset> end = m_relay->get_fresh_end(stream);
    if (!end) {
        return std::nullopt;
    }
    if (from >= *end) {
        return log_batch{.entries = {}, .oldest = 0, .end = from};
    }
    std::optional<log_batch> batch = m_relay->read(stream, from, most);
    if (!batch || !continues(*batch, from)) {
        return std::nullopt;
    }
    batch->end = std::max(batch->end, *end);
    m_relay->on_read(stream, *batch, false);
    return batch;
}

} // namespace dragonflywell::coordination
