#include "policy/prefill_time_model.hpp"

#include <algorithm>
#include <array>

namespace dragonflywell::policy {

namespace {

constexpr double tokens_per_thousand = 1e3;
constexpr double pairs_per_million = 1e6;

/// Initial weights: milliseconds for each prompt, for a thousand tokens and for a million token pairs. They are typical
/// of a model of 70 billion parameters on current accelerators.
constexpr std::array<double, 3> initial_weights{10.0, 18.0, 0.3};
/// Standard deviations of the initial weights, in milliseconds.
constexpr std::array<double, 3> initial_deviations{10.0, 18.0, 0.3};
/// Forgetting factor. A few hundred observations are effective, so that the weights follow a fleet whose engines are
/// replaced within minutes.
constexpr double forgetting_factor = 0.995;
/// Noise of a single observation: a scheduling step of the engine, and the network round trip.
constexpr double base_noise_milliseconds = 5.0;
constexpr double relative_noise = 0.1;
/// An observation that exceeds the prediction by this factor is dropped: the prompt waited for work that this host does
/// not know of.
constexpr double max_overrun_factor = 3.0;
constexpr double min_prediction_milliseconds = 1.0;
/// Time that even the shortest prompt occupies an engine: a scheduling step.
constexpr double min_occupancy_milliseconds = 5.0;

double to_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

std::array<double, 3> multiply(std::array<double, 3> values, double factor) {
    std::transform(values.begin(), values.end(), values.begin(), [factor](double value) { return value * factor; });
    return values;
}

std::array<double, 3> get_initial_weights(double scale, duration added) {
    std::array<double, 3> weights = multiply(initial_weights, scale);
    weights.front() += to_milliseconds(added);
    return weights;
}

} // namespace

prefill_time_model::prefill_time_model(double scale, duration added)
    : m_model(get_initial_weights(scale, added), multiply(initial_deviations, scale), forgetting_factor) {}

duration prefill_time_model::predict(const prefill_work& work) const {
    const double milliseconds = std::max(min_prediction_milliseconds, m_model.predict(get_features(work)));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

duration prefill_time_model::predict_occupancy(const prefill_work& work) const {
    model::features features = get_features(work);
    features.front() = 0;
    const double milliseconds = std::max(min_occupancy_milliseconds, m_model.predict(features));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

void prefill_time_model::observe(const prefill_work& work, duration taken) {
    const double milliseconds = to_milliseconds(taken);
    const double predicted = to_milliseconds(predict(work));
    if (milliseconds > predicted * max_overrun_factor + base_noise_milliseconds) {
        return;
    }
    m_model.observe(get_features(work), milliseconds, base_noise_milliseconds + relative_noise * predicted);
}

prefill_time_model::model::features prefill_time_model::get_features(const prefill_work& work) {
    const auto tokens = static_cast<double>(work.tokens);
    const auto cached = static_cast<double>(work.cached_tokens);
    return {1.0, tokens / tokens_per_thousand, tokens * (cached + tokens / 2) / pairs_per_million};
}

} // namespace dragonflywell::policy
