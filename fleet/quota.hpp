#pragma once

#include <cstdint>

namespace dragonflywell::fleet {

/// What a quota counts.
enum class quota_unit : std::uint8_t { requests, tokens };

/// What an organisation may use over all hosts together.
struct quota {
    /// Positive.
    double rate_per_second{};
    /// Added once to what the rate permits in a window.
    double burst{};
    quota_unit unit{quota_unit::requests};
    /// What a request without a token count uses of a quota in tokens.
    double plain_tokens{};

    friend bool operator==(const quota&, const quota&) = default;
};

} // namespace dragonflywell::fleet
