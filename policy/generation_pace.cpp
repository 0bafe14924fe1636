#include "policy/generation_pace.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

/// Streams from which the model is used. Fewer say little about the slope.
constexpr std::uint64_t min_observed = 30;
/// Influence that each further stream leaves to the earlier ones; about two hundred are effective.
constexpr double retained_weight = 0.995;
/// Initial estimate and its uncertainty, in seconds: the time between events on an idle engine, and the time that each
/// running request adds.
constexpr double initial_base = 0.03;
constexpr double base_deviation = 0.05;
constexpr double initial_slope = 0.001;
constexpr double slope_deviation = 0.002;
/// Standard deviation of one observation: engines differ in speed and read prompts between their steps.
constexpr double noise = 0.03;
/// Slope below which the number of running requests is taken to make no difference.
constexpr double min_slope = 1e-5;

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

generation_pace::generation_pace()
    : m_model({initial_base, initial_slope}, {base_deviation, slope_deviation}, retained_weight) {}

void generation_pace::observe(double running, duration interval) {
    m_model.observe({1, running}, to_seconds(interval), noise);
    ++m_observed;
}

std::optional<double> generation_pace::get_supported_requests(duration limit) const {
    if (m_observed < min_observed) {
        return std::nullopt;
    }
    const auto [base, slope] = m_model.get_weights();
    return std::max(0.0, (to_seconds(limit) - base) / std::max(slope, min_slope));
}

double plan_fill(const generation_pace& pace, duration target_gap, double slots, const fill_options& options) {
    if (target_gap <= duration::zero()) {
        return options.max_fill;
    }
    const auto limit = std::chrono::duration_cast<duration>(target_gap / options.pace_reserve);
    const std::optional<double> supported = pace.get_supported_requests(limit);
    if (!supported) {
        return options.assumed_fill;
    }
    return std::clamp(*supported / slots, options.min_fill, options.max_fill);
}

} // namespace dragonflywell::policy
