#include "policy/fleet_plan.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::policy {

namespace {

std::uint32_t divide_up(double amount, double parts) {
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, amount) / std::max(1.0, parts)));
}

/// Returns how many engines of each zone should read prompts, so that enough are left without one of the zones.
std::optional<std::uint32_t> get_readers_per_zone(const fleet_demand& demand, std::size_t zones,
                                                  const fleet_plan_options& options) {
    if (!demand.prefill_engines) {
        return std::nullopt;
    }
    const double needed = *demand.prefill_engines / options.prefill_utilisation;
    const auto surviving_zones = static_cast<double>(std::max<std::size_t>(1, zones - 1));
    return std::max(options.min_prefill_engines, divide_up(needed, surviving_zones));
}

} // namespace

std::map<zone_name, zone_server_counts> plan_servers(const fleet::scaling_description& scaling,
                                                     const std::map<zone_name, zone_server_counts>& present,
                                                     const fleet_demand& demand, const fleet_plan_options& options) {
    std::map<zone_name, zone_server_counts> wishes;
    const std::size_t zones = present.size();
    const std::uint32_t generators = divide_up(demand.decode_engines, static_cast<double>(zones));
    const std::optional<std::uint32_t> readers = get_readers_per_zone(demand, zones, options);
    for (const auto& [zone, servers] : present) {
        zone_server_counts wish;
        if (!scaling.cheap_price) {
            const std::uint32_t wanted = readers ? generators + *readers : servers.regular;
            wish.regular = std::clamp(wanted, scaling.min_servers, scaling.max_servers);
        } else {
            wish.regular =
                std::clamp(std::max(generators, options.min_regular), scaling.min_servers, scaling.max_servers);
            wish.cheap = scaling.max_servers - wish.regular;
            if (readers) {
                wish.cheap = std::min(wish.cheap, *readers);
            }
        }
        wishes.emplace(zone, wish);
    }
    return wishes;
}

} // namespace dragonflywell::policy
