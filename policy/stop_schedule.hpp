#pragma once

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// The plan of a graceful stop. Every step gets its part of one bound, so that a step that takes long shortens the next
/// ones and never moves the end.
///
/// All times are on the clock that includes suspension, because the platform ends the process by true time. Immutable,
/// so thread safe.
class stop_schedule {
public:
    /// `began_at`: when the process received the stop signal. `bound`: longest time from then until the process must
    /// have ended. Precondition: `bound` is positive.
    stop_schedule(steady_time began_at, duration bound);

    /// Returns whether a request that arrives now may be accepted. Callers learn of the stop while `get_notice_end` has
    /// not passed, so until then every request is served for as long as the stop permits. A later one is accepted only
    /// if it ends before the stop does. `time_left`: the longest time that the request may take.
    [[nodiscard]] bool may_accept(steady_time now, duration time_left) const;

    [[nodiscard]] steady_time get_began_at() const noexcept { return m_began_at; }
    /// Returns until when requests are accepted that may still run when the stop ends.
    [[nodiscard]] steady_time get_notice_end() const noexcept { return m_notice_end; }
    /// Returns when the process stops to listen and closes idle connections.
    [[nodiscard]] steady_time get_listen_end() const noexcept { return m_listen_end; }
    /// Returns when the requests that still run are ended, so that their callers get a response.
    [[nodiscard]] steady_time get_work_end() const noexcept { return m_work_end; }
    /// Returns when no response is waited for any more.
    [[nodiscard]] steady_time get_response_end() const noexcept { return m_response_end; }
    /// Returns when the process ends, whatever is unfinished.
    [[nodiscard]] steady_time get_exit() const noexcept { return m_exit; }

private:
    steady_time m_began_at;
    steady_time m_notice_end;
    steady_time m_listen_end;
    steady_time m_work_end;
    steady_time m_response_end;
    steady_time m_exit;
};

} // namespace dragonflywell::policy
