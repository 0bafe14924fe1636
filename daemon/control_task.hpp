#pragma once

#include "core/clock.hpp"

namespace dragonflywell::daemon {

/// One duty of a daemon beside the requests, such as following the configuration.
///
/// Each task is run by a thread of its own, so that a slow answer to one does not delay another. A task that writes to
/// the platform owns its connections.
class control_task {
public:
    control_task() = default;
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;
    control_task(control_task&&) = delete;
    control_task& operator=(control_task&&) = delete;
    virtual ~control_task() = default;

    /// Does one round. What it throws is logged and counted, and the next round comes all the same.
    virtual void run_round() = 0;

    /// Hands over on a graceful stop, after the last request has ended. Called by the task's thread.
    virtual void finish() {}

    /// Returns a short name for logs and counters.
    [[nodiscard]] virtual const char* get_name() const noexcept = 0;

    /// Returns the time between two rounds.
    [[nodiscard]] virtual duration get_interval() const noexcept = 0;
};

} // namespace dragonflywell::daemon
