#pragma once

#include <functional>

#include "fleet_model/demand_trace.hpp"
#include "policy/spend_planner.hpp"

namespace dragonflywell::fleet_model {

/// Virtual time between two steps of the model, in seconds.
inline constexpr std::uint32_t spend_step_seconds = 20;
inline constexpr std::uint32_t lead_seconds = 300;

struct spend_result {
    /// Share of all work that was served, and share of the guaranteed work that was served.
    double service{};
    double guaranteed_service{};
    /// Price of all servers that ran.
    double spend{};
    double spend_per_million_units{};
    /// Share of the served work that ran on cheap servers, and share of all work that was interrupted by a reclaim.
    double cheap_share{};
    double interrupted_share{};
    std::uint32_t orders{};
};

using spend_observer = std::function<void(std::uint32_t, const policy::spend_inputs&, const policy::spend_plan&)>;

/// Returns the planner options for a deployment.
[[nodiscard]] policy::spend_planner_options make_spend_options(const deployment& fleet);

/// Simulates the planner over a trace. Backend servers become available `lead_seconds` after their order.
[[nodiscard]] spend_result run_spend(const deployment& fleet, const demand_trace& trace,
                                     const policy::spend_planner& planner, const spend_observer& observe = {});

/// Simulates a fixed fleet of regular servers that is large enough for the peak.
[[nodiscard]] spend_result run_spend_static(const deployment& fleet, const demand_trace& trace);

/// Simulates an oracle that knows demand, reclaims and markets in advance and uses the cheapest fleet in each step,
/// with the same limit for cheap servers. Servers start and stop without delay or cost, so no real planner can match
/// it.
[[nodiscard]] spend_result run_spend_oracle(const deployment& fleet, const demand_trace& trace);

} // namespace dragonflywell::fleet_model
