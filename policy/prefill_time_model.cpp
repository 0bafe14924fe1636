#include "policy/prefill_time_model.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

constexpr double tokens_per_thousand = 1e3;
constexpr double pairs_per_million = 1e6;

/// Milliseconds for each prompt, for a thousand tokens and for a million pairs, before anything was observed: those of
/// a common engine of 70 thousand million parameters on current accelerators.
constexpr std::array<double, 3> initial_milliseconds{10.0, 18.0, 0.3};
/// How far off the initial figures may be, in milliseconds.
constexpr std::array<double, 3> initial_doubt{10.0, 18.0, 0.3};
/// Some hundred observations count, so that the figures follow a fleet that is replaced within minutes.
constexpr double observation_memory = 0.995;
/// How far a single time may be off: a step of the engine, and the way there and back.
constexpr double least_noise_milliseconds = 5.0;
constexpr double relative_noise = 0.1;
/// An observation this many times as long as predicted waited for work that this host did not know of.
constexpr double most_surprise = 3.0;
constexpr double shortest_prediction_milliseconds = 1.0;

double to_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

prefill_time_model::prefill_time_model() : m_model(initial_milliseconds, initial_doubt, observation_memory) {}

duration prefill_time_model::predict(const prefill_work& work) const {
    const double milliseconds = std::max(shortest_prediction_milliseconds, m_model.predict(get_features(work)));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

void prefill_time_model::observe(const prefill_work& work, duration taken) {
    const double milliseconds = to_milliseconds(taken);
    const double predicted = to_milliseconds(predict(work));
    if (milliseconds > predicted * most_surprise + least_noise_milliseconds) {
        return;
    }
    m_model.observe(get_features(work), milliseconds, least_noise_milliseconds + relative_noise * predicted);
}

prefill_time_model::model::features prefill_time_model::get_features(const prefill_work& work) {
    const auto tokens = static_cast<double>(work.tokens);
    const auto cached = static_cast<double>(work.cached_tokens);
    return {1.0, tokens / tokens_per_thousand, tokens * (cached + tokens / 2) / pairs_per_million};
}

} // namespace dragonflywell::policy
