#pragma once

#include "policy/role_capacity.hpp"
#include "policy/role_planner.hpp"

namespace dragonflywell::policy {

struct horizon_role_planner_options {
    /// How far ahead a change must pay off.
    duration horizon{std::chrono::seconds(90)};
    /// How long an engine is away for one change, drain included.
    duration change_downtime{std::chrono::seconds(12)};
    /// How long the same change must be worth while before it is ordered.
    duration confirmation_time{std::chrono::seconds(6)};
    /// A change that has lasted this long has stopped halfway.
    duration change_timeout{std::chrono::seconds(60)};
    /// Part of the engines that may be away at once; one always may.
    double max_unavailable_share{0.25};
    /// Net gain that a change must bring, as part of the work asked for over the horizon.
    double min_net_gain{0.015};
    /// Within this time of a change, one that moves capacity back needs `reversal_factor` times the net gain; each
    /// further reversal doubles that, until none has come for as long.
    duration reversal_window{std::chrono::minutes(5)};
    double reversal_factor{4};
    /// How far above the forecast the fleet is kept able to serve.
    double headroom{0.05};
    double mixed_efficiency{0.7};
};

/// Changes a role only if the work won over the horizon exceeds the work lost while the engine is away.
///
/// The gain is averaged over what the demand may turn out to be, so that uncertain times favour mixed engines.
class horizon_role_planner final : public role_planner {
public:
    explicit horizon_role_planner(horizon_role_planner_options options);

    [[nodiscard]] role_plan plan(const role_inputs& inputs, role_planner_state& memory) const override;

private:
    struct change {
        fleet::engine_role from{};
        fleet::engine_role to{};
        double gain_units{};
        double loss_units{};
    };

    [[nodiscard]] role_plan resume(const role_inputs& inputs) const;
    [[nodiscard]] std::optional<change> find_best(const role_inputs& inputs, const role_planner_state& memory,
                                                  const role_capacity& after, const role_capacity& now,
                                                  double units) const;
    [[nodiscard]] double get_least_gain(const role_inputs& inputs, const role_planner_state& memory,
                                        int direction) const;
    [[nodiscard]] bool is_recent(const role_inputs& inputs, const role_planner_state& memory) const;
    void note_order(const role_inputs& inputs, int direction, role_planner_state& memory) const;
    [[nodiscard]] bool is_confirmed(const role_inputs& inputs, const change& best, role_planner_state& memory) const;
    [[nodiscard]] double get_expected_units(const role_capacity& capacity, const role_demand& demand,
                                            double relative_error) const;

    horizon_role_planner_options m_options;
};

} // namespace dragonflywell::policy
