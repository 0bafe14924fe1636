#pragma once

#include <functional>

#include "fleet_model/baseline_planners.hpp"
#include "fleet_model/demand_trace.hpp"

namespace dragonflywell::fleet_model {

/// Properties of a role change, which the planner and the model assume alike.
inline constexpr std::uint32_t drain_seconds = 4;
inline constexpr std::uint32_t change_seconds = 8;
inline constexpr double mixed_efficiency = 0.7;

struct role_result {
    double goodput{};
    double worst_goodput{};
    std::uint32_t changes{};
};

/// Is called for each plan, with the second in which it was made.
using plan_observer = std::function<void(std::uint32_t, const policy::role_inputs&, const policy::role_plan&)>;

/// Simulates a planner over a trace. The planner only sees the reports of the entry hosts, not the trace itself.
[[nodiscard]] role_result run_roles(const deployment& fleet, const demand_trace& trace,
                                    const policy::role_planner& planner, const role_split& start, std::uint64_t seed,
                                    const plan_observer& observe = {});

/// Returns the fixed split that serves the most work of a span of the trace, with full knowledge of the trace.
[[nodiscard]] role_split find_best_split(const deployment& fleet, const demand_trace& trace, span_of_seconds span);

/// Simulates an oracle that knows the whole trace. It uses the best sequence of splits, found by dynamic programming in
/// steps of the length of one change, with the same limit of concurrent changes and the same downtime. Each change
/// costs it one engine-second.
[[nodiscard]] role_result run_oracle(const deployment& fleet, const demand_trace& trace);

} // namespace dragonflywell::fleet_model
