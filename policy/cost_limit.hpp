#pragma once

#include <cstdint>

#include "fleet/organisation.hpp"

namespace dragonflywell::policy {

/// Returns the share of a fleet-wide limit that one host may grant. The sum of all shares never exceeds the limit, even
/// while hosts cannot reach each other. Precondition: `hosts` is positive. Thread safe.
[[nodiscard]] std::uint64_t get_host_share(std::uint64_t limit, std::uint64_t hosts) noexcept;

/// Returns whether this host has used up its share of the organisation's tokens for the window. Running requests may
/// still exceed the share, by at most their own tokens. Precondition: `hosts` is positive. Thread safe.
[[nodiscard]] bool is_over_cost_limit(const fleet::organisation& organisation, std::uint64_t used_tokens,
                                      std::uint64_t hosts) noexcept;

} // namespace dragonflywell::policy
