#pragma once

#include "core/clock.hpp"

namespace dragonflywell::daemon {

/// One background task of a daemon beside serving requests, such as following the configuration.
///
/// Each task runs on its own thread, so that a slow reply to one does not delay another. A task that writes to the
/// platform owns its connections.
class control_task {
public:
    control_task() = default;
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;
    control_task(control_task&&) = delete;
    control_task& operator=(control_task&&) = delete;
    virtual ~control_task() = default;

    /// Runs one round. Exceptions are logged and counted, and the next round runs after the usual interval.
    virtual void run_round() = 0;

    /// Writes what is left and releases leases on a graceful stop, after the last request has ended. Called on the
    /// task's thread.
    virtual void finish() {}

    /// Returns a short name for logs and metrics.
    [[nodiscard]] virtual const char* get_name() const noexcept = 0;

    /// Returns the time from the end of one round to the start of the next.
    [[nodiscard]] virtual duration get_interval() const noexcept = 0;
};

} // namespace dragonflywell::daemon
