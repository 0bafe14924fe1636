#pragma once

#include <cstdint>

#include "fleet/organisation.hpp"

namespace dragonflywell::policy {

/// Returns the part of a fleet-wide limit that one host may give out. The parts of all hosts never exceed the limit,
/// also while hosts cannot reach each other. Precondition: `hosts` is positive. Thread safe.
[[nodiscard]] std::uint64_t get_host_share(std::uint64_t limit, std::uint64_t hosts) noexcept;

/// Tells whether this host has given out the organisation's part of its tokens for the window. What runs already may
/// still go over it, by at most its own tokens. Precondition: `hosts` is positive. Thread safe.
[[nodiscard]] bool is_over_cost_limit(const fleet::organisation& organisation, std::uint64_t used_tokens,
                                      std::uint64_t hosts) noexcept;

} // namespace dragonflywell::policy
