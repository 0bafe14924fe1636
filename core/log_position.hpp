#pragma once

#include <compare>
#include <cstdint>

namespace dragonflywell {

/// Largest era that is accepted from outside, so that a damaged number does not hide all later eras.
inline constexpr std::uint64_t max_log_era = 1'000'000;

/// Newest era that a store can have which has never returned from an older copy: eras are counted from 0 or from 1.
inline constexpr std::uint64_t max_first_log_era = 1;

/// A position in a log whose store may return from an older copy. Each return begins a new era, in which offsets are
/// assigned again, so that offsets of different eras cannot be compared. A later era is always the later position.
struct log_position {
    std::uint64_t era{};
    std::uint64_t offset{};

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

} // namespace dragonflywell
