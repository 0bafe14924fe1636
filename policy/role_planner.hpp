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
    /// Gets nothing new and finishes what it has, before a change.
    draining,
    /// Away: loads what its new role needs.
    changing,
    /// Does not answer.
    lost,
};

/// An engine as the planner sees it.
struct planned_engine {
    backend_server_name name;
    zone_name zone;
    /// As the engine itself last reported.
    fleet::engine_role role{fleet::engine_role::mixed};
    engine_state state{engine_state::serving};
    /// The role it was ordered to take, while that is under way.
    std::optional<fleet::engine_role> target;
    /// How long it has been in its state.
    duration in_state{};
    /// Work that it does in a second while serving, in units.
    double units_per_second{};
};

/// Demand for one model, in units of work per second.
struct role_demand {
    double prefill{};
    double decode{};
};

/// What happened before, kept by the caller between two plans.
struct role_planner_state {
    std::optional<wall_time> last_order;
    /// Whether the last change moved capacity to prefill (1) or to decode (-1).
    int last_direction{0};
    /// How often the direction has turned lately.
    int reversals{0};
    /// Since when a change in the same direction has been worth while.
    std::optional<wall_time> wanted_since;
    int wanted_direction{0};
};

struct role_inputs {
    wall_time now{};
    /// All engines of the model, in all availability zones.
    std::span<const planned_engine> engines;
    role_demand current;
    /// Expected at the end of the horizon.
    role_demand expected;
    /// Relative error to be expected of the forecast.
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

/// Why a plan is as it is.
enum class role_reason {
    ordered,
    /// A change that stopped halfway is ordered again.
    resumed,
    no_authority,
    stale_demand,
    no_engines,
    gain_too_small,
    /// The gain has not lasted long enough yet.
    not_confirmed,
    /// As many engines are away as may be.
    cap_reached,
};

[[nodiscard]] std::string_view get_role_reason_name(role_reason reason) noexcept;

struct role_plan {
    std::vector<role_order> orders;
    role_reason reason{role_reason::gain_too_small};
    /// Units of work won over the horizon by the first change, and lost while the engine is away.
    double gain_units{};
    double loss_units{};
};

/// Decides which engines of one model change their role. Implementations are pure apart from `memory`.
class role_planner {
public:
    role_planner() = default;
    role_planner(const role_planner&) = delete;
    role_planner& operator=(const role_planner&) = delete;
    role_planner(role_planner&&) = delete;
    role_planner& operator=(role_planner&&) = delete;
    virtual ~role_planner() = default;

    /// Returns the plan for all availability zones; a lease holder carries out the orders of its own zone only.
    /// Thread safe when each thread has its own `memory`.
    [[nodiscard]] virtual role_plan plan(const role_inputs& inputs, role_planner_state& memory) const = 0;
};

} // namespace dragonflywell::policy
