#pragma once

#include <vector>

#include "fleet_model/demand_trace.hpp"
#include "fleet_model/role_run.hpp"

namespace dragonflywell::fleet_model {

/// Simulates the engines of one model with their drains, role changes and failures, in steps of one second.
class modelled_engines {
public:
    modelled_engines(const deployment& fleet, const role_split& start);

    /// Executes the orders. Orders for engines that are lost or unavailable have no effect.
    void take(std::span<const policy::role_order> orders);

    /// Marks one engine as lost: one that has a change in progress if there is any, with the most frequent role.
    void fail_engine();
    /// Restores the lost engine in the role that it had.
    void restore_engine();

    /// Advances by one second and returns the capacity in it.
    policy::role_capacity step();

    [[nodiscard]] std::span<const policy::planned_engine> get() const noexcept { return m_engines; }
    [[nodiscard]] std::uint32_t get_changes() const noexcept { return m_changes; }

private:
    void advance(policy::planned_engine& engine);

    std::vector<policy::planned_engine> m_engines;
    std::uint32_t m_changes{0};
};

} // namespace dragonflywell::fleet_model
