#pragma once

#include "core/clock.hpp"

namespace dragonflywell::testing {

/// Clock of one host that runs faster or slower than true time.
class drifting_clock final : public clock_source {
public:
    /// `rate` is the number of local seconds per true second. Precondition: `truth` outlives the clock.
    drifting_clock(const clock_source& truth, double rate) : m_truth(&truth), m_start(truth.now()), m_rate(rate) {}

    [[nodiscard]] steady_time now() const override {
        const duration passed = m_truth->now() - m_start;
        return m_start + duration(static_cast<duration::rep>(static_cast<double>(passed.count()) * m_rate));
    }
    [[nodiscard]] steady_time now_with_suspension() const override { return now(); }
    [[nodiscard]] wall_time wall_now() const override { return m_truth->wall_now(); }

private:
    const clock_source* m_truth;
    steady_time m_start;
    double m_rate;
};

} // namespace dragonflywell::testing
