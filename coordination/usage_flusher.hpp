#pragma once

#include "coordination/usage_window.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

/// Writes the usage counters of this incarnation to the log and closes its windows. Not thread safe.
///
/// While the log is unavailable, the counters stay in memory and windows are closed later; no usage is lost or counted
/// twice.
class usage_flusher {
public:
    /// Preconditions: the arguments outlive the flusher; `stream` writes to the usage stream as this incarnation.
    usage_flusher(folded_stream& stream, const clock_source& time, usage_meter& meter);

    /// Writes the changed counters and closes the windows that have ended. Throws `log_unavailable_error`.
    /// Precondition: `window_length` is the same in each call and for all users of the meter.
    void flush(std::chrono::seconds window_length);

    /// Writes the last counters and closes all windows for good. Throws `log_unavailable_error`.
    /// Precondition: nothing is added to the meter any more.
    void finish(std::chrono::seconds window_length);

private:
    void write(window_number close_through, std::optional<window_number> announced);

    folded_stream* m_stream;
    const clock_source* m_time;
    usage_meter* m_meter;
    bool m_has_written{false};
    std::optional<window_number> m_closed_through;
};

} // namespace dragonflywell::coordination
