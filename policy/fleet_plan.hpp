#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "fleet/service_description.hpp"

namespace dragonflywell::policy {

/// Current or desired number of backend servers in an availability zone.
struct zone_server_counts {
    std::uint32_t regular{0};
    std::uint32_t cheap{0};

    friend bool operator==(const zone_server_counts&, const zone_server_counts&) = default;
};

/// Load of a service, as the number of engines that it needs.
struct fleet_demand {
    /// Number of engines that the prefill work at its recent peak would keep fully busy. Empty until the load has been
    /// observed for long enough.
    std::optional<double> prefill_engines;
    /// Number of decode engines needed, including spare ones.
    std::uint32_t decode_engines{0};
};

struct fleet_plan_options {
    /// Target utilisation of prefill engines. It is low because a prompt that waits for its prefill makes the answer
    /// late.
    double prefill_utilisation{0.3};
    /// Minimum number of prefill engines in each zone.
    std::uint32_t min_prefill_engines{1};
    /// Minimum number of regular servers in each zone, so that one is left if another is lost.
    std::uint32_t min_regular{2};
};

/// Returns how many servers each availability zone of a service should have.
///
/// Regular servers are meant for decoding: a generation that is cut off may not be repeated. Cheap servers are meant
/// for prefills, which can be repeated elsewhere when a zone's cheap servers are reclaimed. There are enough of them to
/// handle the load after one zone has lost all of its own. While the demand is unknown, zones are filled up with cheap
/// servers: the prefill load changes faster than servers can be ordered. Thread safe.
[[nodiscard]] std::map<zone_name, zone_server_counts>
plan_servers(const fleet::scaling_description& scaling, const std::map<zone_name, zone_server_counts>& present,
             const fleet_demand& demand, const fleet_plan_options& options);

} // namespace dragonflywell::policy
