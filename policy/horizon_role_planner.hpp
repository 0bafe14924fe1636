#pragma once

#include "policy/role_capacity.hpp"
#include "policy/role_planner.hpp"

namespace dragonflywell::policy {

struct horizon_role_planner_options {
    /// Time within which a change must pay off.
    duration horizon{std::chrono::seconds(90)};
    /// How long one change makes an engine unavailable, including the drain.
    duration change_downtime{std::chrono::seconds(12)};
    /// How long a change in the same direction must be worthwhile before it is ordered.
    duration confirmation_time{std::chrono::seconds(6)};
    /// A change that has lasted this long counts as stuck and is ordered again.
    duration change_timeout{std::chrono::seconds(60)};
    /// Share of the engines that may be unavailable at once; one engine always may.
    double max_unavailable_share{0.25};
    /// Minimum net gain of a change, as a share of the work requested over the horizon.
    double min_net_gain{0.015};
    /// Within this time of a change, a change in the opposite direction needs `reversal_factor` times the net gain.
    /// Each further reversal doubles that, until no change has occurred for this time. This hysteresis prevents
    /// oscillation.
    duration reversal_window{std::chrono::minutes(5)};
    double reversal_factor{4};
    /// Margin above the forecast that the capacity is planned for, as a share of the forecast.
    double headroom{0.05};
    double mixed_efficiency{0.7};
};

/// Changes a role only if the work gained over the horizon exceeds the work lost while the engine is unavailable.
///
/// The gain is averaged over several demand scenarios within the forecast error, so a large error favours mixed
/// engines.
class horizon_role_planner final : public role_planner {
public:
    explicit horizon_role_planner(horizon_role_planner_options options);

    [[nodiscard]] role_plan plan(const role_inputs& inputs, role_planner_state& state) const override;

private:
    struct change {
        fleet::engine_role from{};
        fleet::engine_role to{};
        double gain_units{};
        double loss_units{};
    };

    [[nodiscard]] role_plan reorder_stuck_changes(const role_inputs& inputs) const;
    [[nodiscard]] std::optional<change> find_best_change(const role_inputs& inputs, const role_planner_state& state,
                                                         const role_capacity& after, const role_capacity& now,
                                                         double units) const;
    [[nodiscard]] double get_min_gain(const role_inputs& inputs, const role_planner_state& state, int direction) const;
    [[nodiscard]] bool is_change_recent(const role_inputs& inputs, const role_planner_state& state) const;
    void record_order(const role_inputs& inputs, int direction, role_planner_state& state) const;
    [[nodiscard]] bool is_confirmed(const role_inputs& inputs, const change& best, role_planner_state& state) const;
    [[nodiscard]] double get_expected_units(const role_capacity& capacity, const role_demand& demand,
                                            double relative_error) const;

    horizon_role_planner_options m_options;
};

} // namespace dragonflywell::policy
