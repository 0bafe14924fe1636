#pragma once

#include <optional>

#include "coordination/lease.hpp"
#include "coordination/snapshot_writer.hpp"

namespace dragonflywell::coordination {

/// Keeps one of many processes writing the snapshots of a stream that has no other lease.
///
/// The lease only saves work: a second writer writes the same. It is long, so that it costs the stream few records.
/// Not thread safe.
class leased_snapshot_writer {
public:
    /// Preconditions: all arguments outlive the keeper; `stream.has_snapshots()`; `retention` is positive.
    leased_snapshot_writer(append_log& log, folded_stream& stream, const clock_source& time, duration retention);

    /// Does what is due: claims or renews the lease, writes a snapshot. Returns whether it wrote one. Cheap when
    /// nothing is due. Throws `log_unavailable_error` and `log_gap_error`.
    bool tick();

    /// Gives the lease up for a graceful stop. Throws `log_unavailable_error`.
    void release() { m_lease.release(); }

private:
    const clock_source* m_time;
    duration m_interval;
    lease_candidate m_lease;
    snapshot_writer m_writer;
    std::optional<steady_time> m_ticked_at;
};

} // namespace dragonflywell::coordination
