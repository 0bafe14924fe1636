#include "policy/fleet_plan.hpp"

#include <algorithm>

namespace dragonflywell::policy {

std::map<zone_name, zone_wish> plan_servers(const fleet::scaling_description& scaling,
                                            const std::map<zone_name, zone_wish>& present) {
    std::map<zone_name, zone_wish> wishes;
    for (const auto& [zone, servers] : present) {
        zone_wish wish{.regular = std::clamp(servers.regular, scaling.least, scaling.most), .cheap = 0};
        if (scaling.cheap_price) {
            wish.cheap = scaling.most - std::min(scaling.most, wish.regular);
        }
        wishes.emplace(zone, wish);
    }
    return wishes;
}

} // namespace dragonflywell::policy
