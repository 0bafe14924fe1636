#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "fleet/server_record.hpp"
#include "fleet/service_description.hpp"

namespace dragonflywell::policy {

/// An engine as the plan for its service sees it.
struct planned_server {
    backend_server_name name;
    zone_name zone;
    fleet::engine_stage stage{fleet::engine_stage::decode};
    bool is_cheap{false};
};

/// How many backend servers of a zone are wanted.
struct zone_wish {
    std::uint32_t regular{0};
    std::uint32_t cheap{0};

    friend bool operator==(const zone_wish&, const zone_wish&) = default;
};

/// Returns how many servers each zone of a service should have, given those that it was found with.
///
/// A cheap server costs a fraction of a regular one, and reading prompts is work that can be begun anew elsewhere: so
/// each zone is filled up with cheap ones to its limit, on top of the regular ones that it has. Thread safe.
[[nodiscard]] std::map<zone_name, zone_wish> plan_servers(const fleet::scaling_description& scaling,
                                                          const std::map<zone_name, zone_wish>& present);

} // namespace dragonflywell::policy
