#include "coordination/usage_flusher.hpp"

#include <array>

namespace dragonflywell::coordination {

namespace {

/// A window stays open this long after its end, for the usage of requests that ended in it.
constexpr std::chrono::seconds close_delay{2};

window_number get_window_at(wall_time moment, std::chrono::seconds window_length) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(moment.time_since_epoch());
    return static_cast<window_number>(seconds / window_length);
}

} // namespace

usage_flusher::usage_flusher(folded_stream& stream, const clock_source& time, usage_meter& meter)
    : m_stream(&stream), m_time(&time), m_meter(&meter) {
    // Only records that this process writes matter here, so a gap in the records of others does no harm.
    m_stream->allow_gaps();
}

void usage_flusher::flush(std::chrono::seconds window_length) {
    const window_number ended = get_window_at(m_time->wall_now() - close_delay, window_length) - 1;
    const bool is_closing = !m_closed_through || *m_closed_through < ended;
    const bool has_use = !m_meter->get_unflushed().empty();
    if (has_use || (m_has_written && is_closing)) {
        write(ended, ended);
    }
}

void usage_flusher::finish(std::chrono::seconds window_length) {
    if (m_has_written || !m_meter->get_unflushed().empty()) {
        write(get_window_at(m_time->wall_now(), window_length), all_windows_closed);
    }
}

void usage_flusher::write(window_number close_through, std::optional<window_number> announced) {
    // The window is closed before the counters are read, so that the record that closes it carries its final counters.
    m_meter->close(close_through);
    const usage_table unflushed = m_meter->get_unflushed();
    const std::array drafts{make_usage_record(m_stream->get_writer(), unflushed, announced)};
    m_stream->submit(drafts);
    m_meter->mark_flushed(unflushed);
    m_meter->forget(close_through);
    m_has_written = true;
    m_closed_through = close_through;
}

} // namespace dragonflywell::coordination
