#include "policy/time_correction.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

/// Clocks of different hosts normally differ by up to this much.
constexpr duration max_normal_difference = std::chrono::milliseconds(150);
/// With two hosts it is impossible to tell which clock is right.
constexpr std::size_t min_hosts = 3;

} // namespace

std::optional<duration> get_time_correction(std::vector<duration> differences) {
    // The host's own clock takes part in the median.
    differences.push_back(duration::zero());
    if (differences.size() < min_hosts) {
        return std::nullopt;
    }
    const auto middle = differences.begin() + static_cast<std::ptrdiff_t>(differences.size() / 2);
    std::nth_element(differences.begin(), middle, differences.end());
    return std::chrono::abs(*middle) > max_normal_difference ? std::optional(*middle) : std::nullopt;
}

} // namespace dragonflywell::policy
