#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "policy/role_planner.hpp"
#include "policy/spend_planner.hpp"

namespace dragonflywell::daemon {

/// The last role and spending decision for one model, and the inputs to it.
struct model_fleet_status {
    std::vector<policy::planned_engine> engines;
    policy::role_demand current;
    policy::role_demand expected;
    double relative_error{};
    policy::demand_freshness freshness{policy::demand_freshness::stale};
    policy::role_plan roles;
    /// The orders of the newest decision that had any, and when it was made.
    std::vector<policy::role_order> last_orders;
    std::optional<wall_time> last_ordered_at;
    /// Demand of each organisation, in work units per second.
    std::map<organisation_name, policy::role_demand> organisations;
    policy::spend_plan spending;
};

/// The fleet as a daemon sees it, and its decisions for its zone. Immutable once published.
struct fleet_status {
    bool has_authority{false};
    bool is_log_reachable{false};
    std::uint64_t completed_changes{};
    std::uint64_t given_up_changes{};
    std::size_t unresolved_orders{};
    std::map<model_name, model_fleet_status> models;
};

/// Returns the status as the /status endpoint shows it. Thread safe.
[[nodiscard]] boost::json::object encode_fleet_status(const fleet_status& status);

} // namespace dragonflywell::daemon
