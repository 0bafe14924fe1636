#pragma once

#include "policy/quota_limit.hpp"

namespace dragonflywell::daemon {

/// Returns the tolerance in the environment variables `HOST_QUOTA_WINDOW_S`, `HOST_QUOTA_OVERAGE` and
/// `HOST_QUOTA_SLACK`, and the default for those that are missing or empty. Throws `invalid_input_error` for other
/// values than numbers in their range.
[[nodiscard]] policy::quota_tolerance read_quota_tolerance_from_environment();

} // namespace dragonflywell::daemon
