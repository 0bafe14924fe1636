#include "policy/fleet_plan.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::policy {

namespace {

std::uint32_t divide_rounding_up(double amount, double parts) {
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, amount) / std::max(1.0, parts)));
}

/// Returns the number of prefill engines for each zone, such that enough are left if one zone fails. Returns nothing
/// while the demand is unknown.
std::optional<std::uint32_t> get_prefill_engines_per_zone(const fleet_demand& demand, std::size_t zones,
                                                          const fleet_plan_options& options) {
    if (!demand.prefill_engines) {
        return std::nullopt;
    }
    const double needed = *demand.prefill_engines / options.prefill_utilisation;
    const auto surviving_zones = static_cast<double>(std::max<std::size_t>(1, zones - 1));
    return std::max(options.min_prefill_engines, divide_rounding_up(needed, surviving_zones));
}

} // namespace

std::map<zone_name, zone_server_counts> plan_servers(const fleet::scaling_description& scaling,
                                                     const std::map<zone_name, zone_server_counts>& present,
                                                     const fleet_demand& demand, const fleet_plan_options& options) {
    std::map<zone_name, zone_server_counts> targets;
    const std::size_t zones = present.size();
    const std::uint32_t decode_engines = divide_rounding_up(demand.decode_engines, static_cast<double>(zones));
    const std::optional<std::uint32_t> prefill_engines = get_prefill_engines_per_zone(demand, zones, options);
    for (const auto& [zone, servers] : present) {
        zone_server_counts target;
        if (!scaling.cheap_price) {
            const std::uint32_t wanted = prefill_engines ? decode_engines + *prefill_engines : servers.regular;
            target.regular = std::clamp(wanted, scaling.min_servers, scaling.max_servers);
        } else {
            target.regular =
                std::clamp(std::max(decode_engines, options.min_regular), scaling.min_servers, scaling.max_servers);
            target.cheap = scaling.max_servers - target.regular;
            if (prefill_engines) {
                target.cheap = std::min(target.cheap, *prefill_engines);
            }
        }
        targets.emplace(zone, target);
    }
    return targets;
}

} // namespace dragonflywell::policy
