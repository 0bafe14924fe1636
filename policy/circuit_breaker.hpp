#pragma once

#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct circuit_breaker_options {
    /// How long calls rest after a failure; doubled with each further one.
    duration first_pause{std::chrono::milliseconds(100)};
    /// With the pause of whoever calls, well inside the time after which bounds hold again once a dependency is back.
    duration longest_pause{std::chrono::milliseconds(800)};
};

/// Lets all users of one dependency share what each learns of it: while it fails, one call in a while is tried for all
/// of them, since each call is paid for and a dependency in trouble has no use for more. Not thread safe.
class circuit_breaker {
public:
    explicit circuit_breaker(circuit_breaker_options options = {}) : m_options(options) {}

    /// Returns whether a call may be made now. While the dependency fails, a call that may be made is the only one for
    /// the time of the pause; there is no need to tell how it ends.
    [[nodiscard]] bool may_call(steady_time now);

    /// Notes that a call was answered: all calls may be made again.
    void on_success(steady_time now);

    /// Notes that a call which was sent at that moment failed. It says nothing where a later one was answered.
    void on_failure(steady_time sent_at, steady_time now);

private:
    circuit_breaker_options m_options;
    duration m_pause{};
    /// When the next call may be made; nothing while all may.
    std::optional<steady_time> m_next_at;
    std::optional<steady_time> m_succeeded_at;
};

} // namespace dragonflywell::policy
