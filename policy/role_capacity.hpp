#pragma once

#include <span>

#include "policy/role_planner.hpp"

namespace dragonflywell::policy {

/// Capacity of a set of engines by role, in units of work per second.
struct role_capacity {
    double prefill{};
    double decode{};
    /// Already reduced by what prefill and decode cost each other on one engine.
    double mixed{};
};

/// Work of one engine in its role. `mixed_efficiency` is between 0 and 1.
void add_capacity(role_capacity& sum, fleet::engine_role role, double units, double mixed_efficiency) noexcept;

/// Returns the work done per second when every request gets the same part of what it asks for in both phases.
[[nodiscard]] double get_served_units(const role_capacity& capacity, const role_demand& demand) noexcept;

} // namespace dragonflywell::policy
