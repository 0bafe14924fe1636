#pragma once

#include <chrono>
#include <ctime>

namespace dragonflywell {

using duration = std::chrono::nanoseconds;

/// A point on a host's monotonic clock. Not comparable between hosts.
using steady_time = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point on the wall clock, in UTC. Comparable between hosts up to their drift.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Source of time. Tests replace it with a virtual clock.
///
/// Thread safety: implementations may be called from any thread.
class clock_source {
public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    clock_source(clock_source&&) = delete;
    clock_source& operator=(clock_source&&) = delete;
    virtual ~clock_source() = default;

    [[nodiscard]] virtual steady_time now() const = 0;
    [[nodiscard]] virtual wall_time wall_now() const = 0;
    /// Returns the time on a monotonic clock that keeps running while the host is suspended. Not comparable with
    /// `now()`.
    [[nodiscard]] virtual steady_time now_with_suspension() const = 0;
};

/// The clocks of the host on which the process runs.
class host_clock final : public clock_source {
public:
    [[nodiscard]] steady_time now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
    [[nodiscard]] steady_time now_with_suspension() const override {
        timespec moment{};
        clock_gettime(CLOCK_BOOTTIME, &moment);
        return steady_time(std::chrono::seconds(moment.tv_sec) + std::chrono::nanoseconds(moment.tv_nsec));
    }
};

/// A clock that advances only on request, for tests. Not thread safe.
class virtual_clock final : public clock_source {
public:
    [[nodiscard]] steady_time now() const override { return m_now; }
    [[nodiscard]] wall_time wall_now() const override { return wall_time(m_now.time_since_epoch() + m_wall_step); }
    [[nodiscard]] steady_time now_with_suspension() const override { return m_now + m_suspended; }

    /// Precondition: `step` is not negative.
    void advance(duration step) { m_now += step; }
    /// Simulates that the host is suspended: the monotonic clock stands still, and the others advance. Precondition:
    /// `step` is not negative.
    void suspend(duration step) {
        m_suspended += step;
        m_wall_step += step;
    }
    /// Steps the wall clock forward, or backward with a negative `step`.
    void step_wall(duration step) { m_wall_step += step; }

private:
    steady_time m_now{std::chrono::hours(1)};
    duration m_suspended{};
    duration m_wall_step{};
};

} // namespace dragonflywell
