#include "policy/time_correction.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

/// Hosts' clocks that are this close are as close as clocks are.
constexpr duration tolerated_difference = std::chrono::milliseconds(150);
/// With two hosts nobody knows which one is right.
constexpr std::size_t least_hosts = 3;

} // namespace

std::optional<duration> get_time_correction(std::vector<duration> differences) {
    // The host itself is one of those whose clocks are compared.
    differences.push_back(duration::zero());
    if (differences.size() < least_hosts) {
        return std::nullopt;
    }
    const auto middle = differences.begin() + static_cast<std::ptrdiff_t>(differences.size() / 2);
    std::nth_element(differences.begin(), middle, differences.end());
    return std::chrono::abs(*middle) > tolerated_difference ? std::optional(*middle) : std::nullopt;
}

} // namespace dragonflywell::policy
