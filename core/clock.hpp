#pragma once

#include <chrono>

namespace dragonflywell {

using duration = std::chrono::nanoseconds;

/// A point on a host's monotonic clock. Not comparable between hosts.
using steady_time = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point on the wall clock, in UTC. Comparable between hosts up to their drift.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Source of time. Tests replace it by a virtual clock.
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
};

/// The clocks of the host the process runs on.
class host_clock final : public clock_source {
public:
    [[nodiscard]] steady_time now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// A clock that moves only when it is told to. Not thread safe.
class virtual_clock final : public clock_source {
public:
    [[nodiscard]] steady_time now() const override { return m_now; }
    [[nodiscard]] wall_time wall_now() const override { return wall_time(m_now.time_since_epoch()); }

    /// Precondition: `step` is not negative.
    void advance(duration step) { m_now += step; }

private:
    steady_time m_now{std::chrono::hours(1)};
};

} // namespace dragonflywell
