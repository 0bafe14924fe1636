#pragma once

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Moving average of the throughput while requests wait. Idle times are left out, because the throughput is not limited
/// by the servers then. Not thread safe.
class service_rate {
public:
    /// `time_constant`: time constant of the moving average, in busy time.
    explicit service_rate(duration time_constant) noexcept : m_time_constant(time_constant) {}

    /// Sets whether requests wait from now on.
    void set_busy(steady_time now, bool is_busy);
    /// Adds completed work. It is ignored while no requests wait.
    void add_finished(steady_time now, double work);

    /// Returns the expected time to complete the work, or zero if there are too few observations.
    [[nodiscard]] duration get_time_for(double work) const;

private:
    void advance(steady_time now);

    duration m_time_constant;
    bool m_is_busy{false};
    steady_time m_advanced;
    double m_seconds{0.0};
    double m_work{0.0};
};

} // namespace dragonflywell::policy
