#pragma once

#include "coordination/folded_stream.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

struct snapshot_writer_options {
    /// How long the log keeps a record, according to the platform.
    duration retention{std::chrono::hours(24)};
    /// How many snapshots are written within one retention period.
    std::uint32_t snapshots_per_retention{4};
};

/// Writes the snapshot of one stream several times within the log's retention, even if nothing has changed.
///
/// One process is enough, and several do no harm because all write the same content. Not thread safe.
class snapshot_writer {
public:
    /// Preconditions: all arguments outlive the writer; `stream.has_snapshots()`.
    /// Throws `invalid_input_error` if fewer than two snapshots would fit into one retention period.
    snapshot_writer(append_log& log, folded_stream& stream, const clock_source& time, snapshot_writer_options options);

    /// Writes a snapshot if one is due; returns whether it did. Throws `log_unavailable_error` and `log_gap_error`; the
    /// snapshot then remains due.
    bool tick();

private:
    append_log* m_log;
    folded_stream* m_stream;
    const clock_source* m_time;
    duration m_interval;
    std::optional<steady_time> m_written_at;
};

} // namespace dragonflywell::coordination
