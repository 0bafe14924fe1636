#pragma once

#include <optional>

#include "coordination/lease.hpp"
#include "coordination/snapshot_writer.hpp"

namespace dragonflywell::coordination {

/// Lets one of several processes write the snapshots of a stream that has no other lease.
///
/// The lease only avoids redundant work: a second writer would write the same snapshots. It is long, so that it adds
/// few records to the stream. Not thread safe.
class leased_snapshot_writer {
public:
    /// Preconditions: all arguments outlive this object; `stream.has_snapshots()`; `retention` is positive.
    leased_snapshot_writer(append_log& log, folded_stream& stream, const clock_source& time, duration retention);

    /// Acquires or renews the lease and writes a snapshot, if due. Returns whether it wrote a snapshot. Costs little if
    /// nothing is due. Throws `log_unavailable_error` and `log_gap_error`.
    bool tick();

    /// Releases the lease for a graceful stop. Throws `log_unavailable_error`.
    void release() { m_lease.release(); }

private:
    const clock_source* m_time;
    duration m_interval;
    lease_candidate m_lease;
    snapshot_writer m_writer;
    std::optional<steady_time> m_ticked_at;
};

} // namespace dragonflywell::coordination
