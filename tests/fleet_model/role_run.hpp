#pragma once

#include <functional>

#include "fleet_model/baseline_planners.hpp"
#include "fleet_model/demand_trace.hpp"

namespace dragonflywell::fleet_model {

/// What the planner and the model assume alike about a change.
inline constexpr std::uint32_t drain_seconds = 4;
inline constexpr std::uint32_t change_seconds = 8;
inline constexpr double mixed_efficiency = 0.7;

struct role_result {
    double goodput{};
    double worst_goodput{};
    std::uint32_t changes{};
};

/// Called for each plan, with the second it was made in.
using plan_observer = std::function<void(std::uint32_t, const policy::role_inputs&, const policy::role_plan&)>;

/// Runs a planner through a trace. It sees what entry hosts report, never the trace itself.
[[nodiscard]] role_result run_roles(const deployment& fleet, const demand_trace& trace,
                                    const policy::role_planner& planner, const role_split& start, std::uint64_t seed,
                                    const plan_observer& observe = {});

/// Returns the split that serves the most of a span of the trace, as one that knows it would choose.
[[nodiscard]] role_split find_best_split(const deployment& fleet, const demand_trace& trace, span_of_seconds span);

/// Runs the plan of one that knows the whole trace: the best sequence of splits, found by dynamic programming in steps
/// of one change, under the same cap and with the same time away. Each change costs it one engine-second.
[[nodiscard]] role_result run_oracle(const deployment& fleet, const demand_trace& trace);

} // namespace dragonflywell::fleet_model
