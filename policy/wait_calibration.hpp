#pragma once

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Learns by which factor prompts wait longer, or shorter, at engines than the known backlog predicts: hosts learn of
/// each other's prompts late, engines differ in speed, more urgent prompts overtake, and running generations slow a
/// prefill down. Not thread safe.
class wait_calibration {
public:
    /// Records how long a prompt waited.
    void observe(duration predicted, duration observed) noexcept;

    /// Returns the factor by which to multiply a predicted wait.
    [[nodiscard]] double get_factor() const noexcept;

private:
    /// Sums over the recent prompts, in seconds. They begin as if some waits had been predicted correctly.
    double m_predicted{0.5};
    double m_observed{0.5};
};

} // namespace dragonflywell::policy
