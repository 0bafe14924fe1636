#pragma once

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// How much work is finished per second while work waits. Idle times say nothing about it and are left out. Not thread
/// safe.
class service_rate {
public:
    /// `memory`: busy time after which what was seen counts for little.
    explicit service_rate(duration memory) noexcept : m_memory(memory) {}

    /// Notes that work has begun or ceased to wait.
    void set_busy(steady_time now, bool is_busy);
    /// Notes that work was finished. Heeded while busy only.
    void add_finished(steady_time now, double work);

    /// Returns how long the work takes, or zero while too little is known to tell.
    [[nodiscard]] duration get_time_for(double work) const;

private:
    void advance(steady_time now);

    duration m_memory;
    bool m_is_busy{false};
    steady_time m_advanced;
    double m_seconds{0.0};
    double m_work{0.0};
};

} // namespace dragonflywell::policy
