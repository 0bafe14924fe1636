#pragma once

#include <cstdint>

#include "core/clock.hpp"
#include "policy/least_squares.hpp"

namespace dragonflywell::policy {

/// Work of an engine for the prefill of one prompt.
struct prefill_work {
    /// Tokens to compute.
    std::uint64_t tokens{};
    /// Tokens of the prefix that the engine already has in its cache.
    std::uint64_t cached_tokens{};
};

/// Learns the prefill duration of engines of one kind from observations. The duration has a constant part, a part
/// proportional to the tokens, and a part proportional to the pairs of tokens in the attention.
///
/// An engine works on other prompts during the constant part, such as the reception and the scheduling of the request.
/// It delays the prompt itself but hardly those behind it, so that the time that a prompt occupies the engine is
/// predicted separately. Not thread safe.
class prefill_time_model {
public:
    /// `scale`: factor of the initial estimate, for engines of another speed. `added`: initial estimate of time in
    /// addition.
    explicit prefill_time_model(double scale = 1.0, duration added = {});

    /// Returns the expected duration on an idle engine.
    [[nodiscard]] duration predict(const prefill_work& work) const;

    /// Returns how long the prefill is expected to keep the engine from starting the next one.
    [[nodiscard]] duration predict_occupancy(const prefill_work& work) const;

    /// Adds an observed prefill. Precondition: the engine was idle otherwise.
    void observe(const prefill_work& work, duration taken);

private:
    using model = least_squares<3>;

    [[nodiscard]] static model::features get_features(const prefill_work& work);

    model m_model;
};

} // namespace dragonflywell::policy
