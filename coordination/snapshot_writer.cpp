#include "coordination/snapshot_writer.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::uint32_t min_snapshots_per_retention = 2;

} // namespace

snapshot_writer::snapshot_writer(append_log& log, folded_stream& stream, const clock_source& time,
                                 snapshot_writer_options options)
    : m_log(&log), m_stream(&stream), m_time(&time), m_interval(options.retention) {
    if (options.snapshots_per_retention < min_snapshots_per_retention || options.retention <= duration::zero()) {
        throw invalid_input_error(std::vector<input_problem>{
            {.location = "snapshots",
             .message = "retention must be positive and at least two snapshots must be written within it"}});
    }
    m_interval = options.retention / options.snapshots_per_retention;
}

bool snapshot_writer::tick() {
    const steady_time now = m_time->now();
    if (m_written_at && now - *m_written_at < m_interval) {
        return false;
    }
    m_stream->poll();
    write_snapshot(*m_log, m_stream->take_snapshot(), m_stream->get_writer());
    m_written_at = now;
    return true;
}

} // namespace dragonflywell::coordination
