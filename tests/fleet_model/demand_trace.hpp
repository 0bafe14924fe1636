#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/role_planner.hpp"

namespace dragonflywell::fleet_model {

/// Work of a prompt token and of a generated token, in units. An engine completes 2,000 units per second.
inline constexpr double units_per_prompt_token = 0.25;
inline constexpr double units_per_output_token = 1.0;

/// A modelled fleet of engines for one model, with its load profile.
struct deployment {
    std::string name;
    std::uint32_t engines{12};
    std::uint32_t zones{4};
    double units_per_engine{2000};
    std::uint32_t hosts{8};
    /// Share of the demand for each organisation, and the deviation of its prefill share from the mean.
    std::vector<double> organisation_share;
    std::vector<double> organisation_skew;
    /// Prefill share of the work in normal operation and at the peak of a load swing.
    double calm_prefill_share{};
    double swing_prefill_share{};
    /// Time in which a load swing builds up.
    double swing_seconds{};
    /// Maximum time that a request may wait for each phase.
    double max_prefill_wait_seconds{};
    double max_decode_wait_seconds{};
    /// Share of the work that must not run on cheap servers, 0 to 1.
    double guaranteed_share{};
};

[[nodiscard]] deployment make_jonosfera();
[[nodiscard]] deployment make_carbonera();

enum class trace_kind {
    storm_swing,
    slow_drift,
    daily_cycle,
    flash,
    threshold_noise,
    engine_lost,
    lagging_reports,
    missing_reports,
    log_outage,
    market_gone,
    zone_reclaimed,
};

[[nodiscard]] std::string_view get_trace_name(trace_kind kind) noexcept;

/// Half-open interval of seconds.
struct span_of_seconds {
    std::uint32_t from{};
    std::uint32_t to{};

    [[nodiscard]] bool contains(std::uint32_t second) const noexcept { return second >= from && second < to; }
};

/// Demand for each second, and the times of the injected faults.
struct demand_trace {
    /// Demand by second, then by organisation.
    std::vector<std::vector<policy::role_demand>> demand;
    std::optional<span_of_seconds> engine_lost;
    std::optional<span_of_seconds> log_down;
    std::optional<span_of_seconds> unresponsive_host;
    std::optional<span_of_seconds> market_gone;
    std::optional<std::uint32_t> zone_reclaimed_at;
    std::uint32_t report_lag_seconds{1};
    double report_loss{0};

    [[nodiscard]] policy::role_demand get_total(std::uint32_t second) const;
};

struct trace_options {
    trace_kind kind{};
    std::uint64_t seed{};
    std::uint32_t seconds{3600};
    /// Demand relative to the fleet's nominal capacity.
    double load{1.0};
};

/// Generates a trace. The same options give the same trace.
[[nodiscard]] demand_trace make_trace(const deployment& fleet, const trace_options& options);

} // namespace dragonflywell::fleet_model
