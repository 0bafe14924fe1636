#include "policy/wait_calibration.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

/// Weight that each further observation leaves to the earlier ones; about a hundred are effective.
constexpr double retained_weight = 0.99;
/// Waits that were predicted to be shorter say more about the network and the event loop than about the backlog.
constexpr duration min_predicted = std::chrono::milliseconds(10);
/// Bounds of the factor, so that one broken engine does not make all others look unusable.
constexpr double min_factor = 0.5;
constexpr double max_factor = 4.0;

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void wait_calibration::observe(duration predicted, duration observed) noexcept {
    if (predicted < min_predicted) {
        return;
    }
    const double limit = to_seconds(predicted) * max_factor;
    m_predicted = m_predicted * retained_weight + to_seconds(predicted);
    m_observed = m_observed * retained_weight + std::clamp(to_seconds(observed), 0.0, limit);
}

double wait_calibration::get_factor() const noexcept {
    return std::clamp(m_observed / m_predicted, min_factor, max_factor);
}

} // namespace dragonflywell::policy
