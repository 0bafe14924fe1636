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
/// proportional to the tokens, and a part proportional to the pairs of tokens in the attention. Not thread safe.
class prefill_time_model {
public:
    prefill_time_model();

    [[nodiscard]] duration predict(const prefill_work& work) const;

    /// Adds an observed prefill. Precondition: the engine was idle otherwise.
    void observe(const prefill_work& work, duration taken);

private:
    using model = least_squares<3>;

    [[nodiscard]] static model::features get_features(const prefill_work& work);

    model m_model;
};

} // namespace dragonflywell::policy
