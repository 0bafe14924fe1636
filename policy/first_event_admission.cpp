#include "policy/first_event_admission.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

constexpr duration min_rejection_delay = std::chrono::milliseconds(100);
constexpr double max_extension = 0.5;

} // namespace

std::optional<duration> get_rejection_delay(const first_event_forecast& forecast, double spread) {
    if (forecast.expected <= forecast.patience) {
        return std::nullopt;
    }
    const duration excess = std::max(min_rejection_delay, forecast.expected - forecast.target);
    return std::chrono::duration_cast<duration>(excess * (1 + max_extension * spread));
}

} // namespace dragonflywell::policy
