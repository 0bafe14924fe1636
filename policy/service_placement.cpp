#include "policy/service_placement.hpp"

#include <algorithm>
#include <limits>

namespace dragonflywell::policy {

namespace {

/// Penalties, in units of the load of a full instance.
constexpr double other_zone_penalty = 0.15;
constexpr double cold_penalty = 0.3;
constexpr double uncertain_penalty = 0.5;
constexpr double failure_penalty = 2.0;
/// Weight of the time that an idle instance takes, relative to one of speed 1. With a smaller weight slow instances get
/// work while fast ones have room.
constexpr double slowness_penalty = 1.0;

double get_cost(const service_candidate& candidate) {
    const double load = static_cast<double>(candidate.in_flight) / std::max<std::uint32_t>(1, candidate.slots);
    return load / candidate.speed + slowness_penalty * (1 / candidate.speed - 1) +
           (candidate.is_own_zone ? 0 : other_zone_penalty) + (candidate.is_cold ? cold_penalty : 0) +
           (candidate.is_uncertain ? uncertain_penalty : 0) + candidate.failure_share * failure_penalty;
}

} // namespace

std::optional<std::size_t> choose_instance(std::span<const service_candidate> candidates) {
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double cost = get_cost(candidates[index]);
        if (cost < best_cost) {
            best_cost = cost;
            best = index;
        }
    }
    return best;
}

} // namespace dragonflywell::policy
