#pragma once

#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// What is known of a generation before it is sent to an engine.
struct first_event_forecast {
    /// Expected time from now to the first event.
    duration expected{};
    /// Time from now after which the caller abandons a response that has not begun.
    duration patience{};
    /// Target of the route for the time to the first event.
    duration target{};
};

/// Returns nothing if the request is to be sent, or else how long its caller should wait before it tries again.
///
/// This answers loads beyond the capacity of the fleet: a prompt whose caller will be gone before the first event only
/// occupies an engine, so that it is rejected at once. The caller is asked to return when the backlog has shrunk so far
/// that the target could be met; `spread`, 0 to 1, lengthens the delay by up to a half, so that the callers of a burst
/// do not return together. Thread safe.
[[nodiscard]] std::optional<duration> get_rejection_delay(const first_event_forecast& forecast, double spread);

} // namespace dragonflywell::policy
