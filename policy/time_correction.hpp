#pragma once

#include <optional>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Returns the correction that a host should add to its wall clock, or nothing if the clock is accurate or there are
/// too few hosts to compare. `differences`: how far the clocks of the other hosts are ahead of its own. The result is
/// the median over all hosts, so that a minority of wrong clocks has no influence. Thread safe.
[[nodiscard]] std::optional<duration> get_time_correction(std::vector<duration> differences);

} // namespace dragonflywell::policy
