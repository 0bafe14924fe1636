#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "fleet/backend_server.hpp"
#include "policy/demand_estimator.hpp"

namespace dragonflywell::policy {

enum class engine_state {
    serving,
    /// It receives no new work and finishes its running requests before a change.
    draining,
    /// It is unavailable while it loads what its new role needs.
    changing,
    /// It does not respond.
    lost,
};

/// State of one engine, as input of the planner.
struct planned_engine {
    backend_server_name name;
    zone_name zone;
    /// The role that the engine itself last reported.
    fleet::engine_role role{fleet::engine_role::mixed};
    engine_state state{engine_state::serving};
    /// The role that it was ordered to take, while the change is in progress.
    std::optional<fleet::engine_role> target;
    /// Time since it entered its state.
    duration in_state{};
    /// Throughput while serving, in units of work per second.
    double units_per_second{};
};

/// Demand for one model, in units of work per second.
struct role_demand {
    double prefill{};
    double decode{};
};

/// State that the caller keeps between two plans.
struct role_planner_state {
    std::optional<wall_time> last_order;
    /// Whether the last change moved capacity to prefill (1) or to decode (-1).
    int last_direction{0};
    /// Number of recent reversals of the direction.
    int reversals{0};
    /// Since when a change in `wanted_direction` has been worthwhile.
    std::optional<wall_time> wanted_since;
    int wanted_direction{0};
};

struct role_inputs {
    wall_time now{};
    /// All engines of the model, in all availability zones.
    std::span<const planned_engine> engines;
    role_demand current;
    /// Demand expected at the end of the horizon.
    role_demand expected;
    /// Expected relative error of the forecast.
    double relative_error{};
    demand_freshness freshness{demand_freshness::stale};
    bool has_authority{false};
};

struct role_order {
    backend_server_name engine;
    zone_name zone;
    fleet::engine_role from{fleet::engine_role::mixed};
    fleet::engine_role to{fleet::engine_role::mixed};

    friend bool operator==(const role_order&, const role_order&) = default;
};

/// Reason for the content of a plan.
enum class role_reason {
    ordered,
    /// A stuck change was ordered again.
    resumed,
    no_authority,
    stale_demand,
    no_engines,
    gain_too_small,
    /// The change has not been worthwhile for long enough yet.
    not_confirmed,
    /// As many engines as permitted are unavailable already, or no engine can be spared for the change.
    cap_reached,
};

[[nodiscard]] std::string_view get_role_reason_name(role_reason reason) noexcept;

struct role_plan {
    std::vector<role_order> orders;
    role_reason reason{role_reason::gain_too_small};
    /// Units of work that the first change gains over the horizon, and that it loses while the engine is unavailable.
    double gain_units{};
    double loss_units{};
};

/// Decides which engines of one model change their role. Implementations keep no state of their own between two plans.
class role_planner {
public:
    role_planner() = default;
    role_planner(const role_planner&) = delete;
    role_planner& operator=(const role_planner&) = delete;
    role_planner(role_planner&&) = delete;
    role_planner& operator=(role_planner&&) = delete;
    virtual ~role_planner() = default;

    /// Returns the plan for all availability zones. A lease holder executes only the orders for its own zone.
    /// Thread safe if each thread passes its own state.
    [[nodiscard]] virtual role_plan plan(const role_inputs& inputs, role_planner_state& state) const = 0;
};

} // namespace dragonflywell::policy
