#pragma once

#include "policy/role_capacity.hpp"
#include "policy/role_planner.hpp"

namespace dragonflywell::fleet_model {

/// Never changes a role.
class static_planner final : public policy::role_planner {
public:
    [[nodiscard]] policy::role_plan plan(const policy::role_inputs& inputs,
                                         policy::role_planner_state& memory) const override;
};

/// Moves one engine when one phase is nearly full and the other is not.
class threshold_planner final : public policy::role_planner {
public:
    [[nodiscard]] policy::role_plan plan(const policy::role_inputs& inputs,
                                         policy::role_planner_state& memory) const override;
};

/// Goes for the split that serves the demand of this moment best, without regard to what a change costs.
class greedy_planner final : public policy::role_planner {
public:
    explicit greedy_planner(double mixed_efficiency) : m_mixed_efficiency(mixed_efficiency) {}

    [[nodiscard]] policy::role_plan plan(const policy::role_inputs& inputs,
                                         policy::role_planner_state& memory) const override;

private:
    double m_mixed_efficiency;
};

/// Number of engines in each role.
struct role_split {
    int prefill{};
    int decode{};
    int mixed{};

    friend auto operator<=>(const role_split&, const role_split&) = default;
};

[[nodiscard]] policy::role_capacity get_capacity(const role_split& split, double units, double mixed_efficiency);

/// Returns every way to split the engines.
[[nodiscard]] std::vector<role_split> get_splits(int engines);

/// Returns the orders that lead from the roles of the engines to a split, at most `most`.
[[nodiscard]] std::vector<policy::role_order> get_orders_towards(std::span<const policy::planned_engine> engines,
                                                                 const role_split& wanted, std::size_t most);

} // namespace dragonflywell::fleet_model
