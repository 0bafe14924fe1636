#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Derives a rate from a monotonic counter and holds its recent peak. The peak follows a rising rate at once and decays
/// exponentially, so that capacity for a load swing is kept until the next swing. Not thread safe.
class decaying_peak_rate {
public:
    struct options {
        /// Interval over which the rate is computed.
        duration span{std::chrono::seconds(2)};
        /// Time in which the peak decays to half.
        duration half_life{std::chrono::seconds(20)};
    };

    explicit decaying_peak_rate(options chosen) noexcept : m_options(chosen) {}

    /// Takes the current value of the counter, in the unit of the rate times seconds.
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
        const double half_lives =
            static_cast<double>(passed.count()) / static_cast<double>(m_options.half_life.count());
        m_peak = std::max(rate, m_peak.value_or(0) * std::pow(2.0, -half_lives));
        m_since = now;
        m_sum = sum;
    }

    /// Returns the decayed peak of the rate, or nothing before the first interval has passed.
    [[nodiscard]] std::optional<double> get() const noexcept { return m_peak; }

private:
    options m_options;
    std::optional<steady_time> m_since;
    double m_sum{0};
    std::optional<double> m_peak;
};

} // namespace dragonflywell::policy
