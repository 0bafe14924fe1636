#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Follows a sum that only grows, and tells the height that its rate has had of late: it rises at once and sinks
/// slowly, so that capacity for a swing is kept until the next one. Not thread safe.
class decaying_peak_rate {
public:
    struct options {
        /// Span over which the rate is taken.
        duration span{std::chrono::seconds(2)};
        /// Time in which the height sinks to half.
        duration half_life{std::chrono::seconds(20)};
    };

    explicit decaying_peak_rate(options chosen) noexcept : m_options(chosen) {}

    /// Takes the sum as it stands now, in the unit of the rate times seconds.
    void observe(double sum, steady_time now) {
        if (!m_since) {
            m_since = now;
            m_sum = sum;
            return;
        }
        const duration passed = now - *m_since;
        if (passed < m_options.span) {
            return;
        }
        const double rate = (sum - m_sum) / std::chrono::duration<double>(passed).count();
        const double halves = static_cast<double>(passed.count()) / static_cast<double>(m_options.half_life.count());
        m_height = std::max(rate, m_height.value_or(0) * std::pow(2.0, -halves));
        m_since = now;
        m_sum = sum;
    }

    /// Returns the height, or nothing before a span has passed.
    [[nodiscard]] std::optional<double> get() const noexcept { return m_height; }

private:
    options m_options;
    std::optional<steady_time> m_since;
    double m_sum{0};
    std::optional<double> m_height;
};

} // namespace dragonflywell::policy
