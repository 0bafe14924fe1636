#pragma once

#include <optional>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Returns what a host should add to its idea of the time of day, or nothing where that is right or cannot be told.
/// `differences`: what the other hosts are ahead of it. The middle one of all hosts counts, so that a minority whose
/// clocks were set wrong moves nobody. Thread safe.
[[nodiscard]] std::optional<duration> get_time_correction(std::vector<duration> differences);

} // namespace dragonflywell::policy
