#pragma once

#include <vector>

#include "fleet_model/demand_trace.hpp"
#include "fleet_model/role_run.hpp"

namespace dragonflywell::fleet_model {

/// The engines of one model, with their drains, changes and losses, second by second.
class modelled_engines {
public:
    modelled_engines(const deployment& fleet, const role_split& start);

    /// Takes the orders; those for engines that are lost or away have no effect.
    void take(std::span<const policy::role_order> orders);

    /// Loses the engine that is furthest into a change, else the first of the most frequent role.
    void lose_one();
    /// Brings the lost engine back in the role it had.
    void bring_back();

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
