#pragma once

#include <functional>

#include "fleet_model/demand_trace.hpp"
#include "policy/spend_planner.hpp"

namespace dragonflywell::fleet_model {

/// Virtual seconds between two steps of the ordering model.
inline constexpr std::uint32_t spend_step_seconds = 20;
inline constexpr std::uint32_t lead_seconds = 300;

struct spend_result {
    /// Part of all work that was served, and of the guaranteed work.
    double service{};
    double guaranteed_service{};
    /// Price of all servers that ran.
    double spend{};
    double spend_per_million_units{};
    /// Part of the served work that ran on cheap servers, and of all work that a reclaim cut short.
    double cheap_share{};
    double interrupted_share{};
    std::uint32_t orders{};
};

using spend_observer = std::function<void(std::uint32_t, const policy::spend_inputs&, const policy::spend_plan&)>;

/// Returns the options that fit a deployment.
[[nodiscard]] policy::spend_planner_options make_spend_options(const deployment& fleet);

/// Runs the planner through a trace in which backend servers come `lead_seconds` after their order.
[[nodiscard]] spend_result run_spend(const deployment& fleet, const demand_trace& trace,
                                     const policy::spend_planner& planner, const spend_observer& observe = {});

/// Runs a fixed fleet, large enough for the peak, with regular servers only.
[[nodiscard]] spend_result run_spend_static(const deployment& fleet, const demand_trace& trace);

/// Runs the cheapest fleet of each step, as one that knows demand, reclaims and markets beforehand can have it; the cap
/// on cheap servers is the same. Servers come and go without delay or cost, so no real planner can match it.
[[nodiscard]] spend_result run_spend_oracle(const deployment& fleet, const demand_trace& trace);

} // namespace dragonflywell::fleet_model
