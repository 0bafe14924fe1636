#pragma once

#include <span>

#include "policy/role_planner.hpp"

namespace dragonflywell::policy {

/// Capacity of a set of engines by role, in units of work per second.
struct role_capacity {
    double prefill{};
    double decode{};
    /// Includes the loss by interference between prefill and decode on one engine.
    double mixed{};
};

/// Adds the throughput of one engine to the sum of its role. `mixed_efficiency`: share of the throughput that remains
/// on a mixed engine, 0 to 1. Thread safe if each thread has its own `sum`.
void add_capacity(role_capacity& sum, fleet::engine_role role, double units, double mixed_efficiency) noexcept;

/// Returns the throughput in units per second if the same share of the demand is served in both phases, as every
/// request needs both.
[[nodiscard]] double get_served_units(const role_capacity& capacity, const role_demand& demand) noexcept;

} // namespace dragonflywell::policy
