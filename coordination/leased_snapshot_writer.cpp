#include "coordination/leased_snapshot_writer.hpp"

namespace dragonflywell::coordination {

namespace {

/// All intervals are fractions of the retention. When the writer stops, its newest snapshot is at most a quarter of the
/// retention old, and the next writer takes over within less than another quarter.
constexpr int snapshots_per_retention = 4;
constexpr int leases_per_retention = 8;
constexpr int renewals_per_retention = 16;
constexpr int ticks_per_retention = 64;

lease_options get_lease_options(const folded_stream& stream, duration retention) {
    return {.scope = "snapshots/" + stream.get_name(),
            .length = retention / leases_per_retention,
            .renew_before = retention / renewals_per_retention,
            .drift_margin = retention / ticks_per_retention,
            .order_deadline = retention / ticks_per_retention};
}

} // namespace

leased_snapshot_writer::leased_snapshot_writer(append_log& log, folded_stream& stream, const clock_source& time,
                                               duration retention)
    : m_time(&time), m_interval(retention / ticks_per_retention),
      m_lease(stream, time, get_lease_options(stream, retention)),
      m_writer(log, stream, time, {.retention = retention, .snapshots_per_retention = snapshots_per_retention}) {}

bool leased_snapshot_writer::tick() {
    const steady_time now = m_time->now();
    if (m_ticked_at && now - *m_ticked_at < m_interval) {
        return false;
    }
    m_lease.tick();
    const bool has_written = m_lease.get_authority() && m_writer.tick();
    m_ticked_at = now;
    return has_written;
}

} // namespace dragonflywell::coordination
