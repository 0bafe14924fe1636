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

/// Changes the role of one engine if the utilisation of one phase is high and that of the other is not.
class threshold_planner final : public policy::role_planner {
public:
    [[nodiscard]] policy::role_plan plan(const policy::role_inputs& inputs,
                                         policy::role_planner_state& memory) const override;
};

/// Moves towards the split that serves the current demand best, regardless of the cost of changes.
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

/// Returns all possible splits of the engines into roles.
[[nodiscard]] std::vector<role_split> get_splits(int engines);

/// Returns at most `most` orders that change the current roles of the engines towards a split.
[[nodiscard]] std::vector<policy::role_order> get_orders_towards(std::span<const policy::planned_engine> engines,
                                                                 const role_split& wanted, std::size_t most);

} // namespace dragonflywell::fleet_model
