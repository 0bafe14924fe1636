#include "daemon/generation_plan.hpp"

#include <algorithm>

#include "policy/generation_pace.hpp"

namespace dragonflywell::daemon {

namespace {

bool serves(const fleet::route& route, const service_name& service) {
    return std::any_of(route.shares.begin(), route.shares.end(),
                       [&service](const fleet::route_share& share) { return share.service == service; });
}

/// Returns the shortest time between two events that a route of the service asks for; zero if none does.
duration get_target_gap(const fleet::serving_configuration& configuration, const service_name& service) {
    duration shortest{};
    for (const fleet::route& route : configuration.routes) {
        const bool has_target = route.target_gap > duration::zero() && serves(route, service);
        if (has_target && (shortest == duration::zero() || route.target_gap < shortest)) {
            shortest = route.target_gap;
        }
    }
    return shortest;
}

} // namespace

policy::stage_plan_options make_stage_plan_options(servers::serving_state& state, const service_name& service) {
    policy::stage_plan_options options;
    const servers::service_engines* engines = state.find_engines(service);
    if (engines == nullptr || state.get_view() == nullptr) {
        return options;
    }
    const duration target_gap = get_target_gap(state.get_view()->get_configuration(), service);
    const double slots = std::max<std::uint32_t>(1, engines->get_description().slots);
    options.decode_fill = policy::plan_fill(engines->pace, target_gap, slots);
    return options;
}

} // namespace dragonflywell::daemon
