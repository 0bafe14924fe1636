#pragma once

#include <cstdint>

#include "core/clock.hpp"
#include "policy/least_squares.hpp"

namespace dragonflywell::policy {

/// What an engine has to do to read a prompt.
struct prefill_work {
    /// Tokens that it reads.
    std::uint64_t tokens{};
    /// Tokens before them, which it holds already.
    std::uint64_t cached_tokens{};
};

/// Learns how long engines of one kind take to read prompts: a part that grows with the tokens, and one that grows
/// with the pairs of tokens that attend to each other. Not thread safe.
class prefill_time_model {
public:
    prefill_time_model();

    [[nodiscard]] duration predict(const prefill_work& work) const;

    /// Takes a prompt that an otherwise idle engine has read.
    void observe(const prefill_work& work, duration taken);

private:
    using model = least_squares<3>;

    [[nodiscard]] static model::features get_features(const prefill_work& work);

    model m_model;
};

} // namespace dragonflywell::policy
