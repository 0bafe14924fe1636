#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "fleet/service_description.hpp"

namespace dragonflywell::policy {

/// How many backend servers of a zone there are, or should be.
struct zone_server_counts {
    std::uint32_t regular{0};
    std::uint32_t cheap{0};

    friend bool operator==(const zone_server_counts&, const zone_server_counts&) = default;
};

/// What the requests to a service ask of its engines.
struct fleet_demand {
    /// Engines that reading prompts would keep busy all the time, at the height of the last while. Nothing while it was
    /// not observed for long enough.
    std::optional<double> prefill_engines;
    /// Engines that are needed to generate, spare ones included.
    std::uint32_t decode_engines{0};
};

struct fleet_plan_options {
    /// Part of their time for which engines that read prompts are to be busy: a prompt that waits makes its answer
    /// late.
    double prefill_utilisation{0.3};
    /// Engines that read prompts at least, for each zone.
    std::uint32_t min_prefill_engines{1};
    /// Regular servers at least, for each zone, so that one is left when another is lost.
    std::uint32_t min_regular{2};
};

/// Returns how many servers each zone of a service should have.
///
/// Regular servers generate: a run that is cut off may not be repeated. Cheap ones read prompts, which can be begun
/// anew elsewhere when a zone's cheap servers are reclaimed; as many as leave enough when one zone has lost them. While
/// the demand is not known, zones are filled up with cheap ones. Answers the load of prompts that swings faster than
/// servers can be ordered. Thread safe.
[[nodiscard]] std::map<zone_name, zone_server_counts>
plan_servers(const fleet::scaling_description& scaling, const std::map<zone_name, zone_server_counts>& present,
             const fleet_demand& demand, const fleet_plan_options& options);

} // namespace dragonflywell::policy
