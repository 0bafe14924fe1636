#pragma once

#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct circuit_breaker_options {
    /// Shortest rest after a failure. The time from the start of one call to the next begins with it and is doubled
    /// with each call that is tried.
    duration initial_backoff{std::chrono::milliseconds(100)};
    /// Longest time from the start of one call to the start of the next, where the call itself does not take longer.
    /// A part of the time from the return of a dependency to its use; see `get_max_recovery_time`.
    duration max_backoff{std::chrono::milliseconds(1000)};
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

    /// Returns when the next call may be made; nothing while all may.
    [[nodiscard]] std::optional<steady_time> get_next_call_at() const noexcept { return m_next_at; }

    /// Returns the longest time from the return of a dependency to the end of the first call that it answers, where
    /// somebody always waits to call and no call takes longer than `call_limit`: the call before it may have been sent
    /// just before the return and be lost.
    [[nodiscard]] static constexpr duration get_max_recovery_time(circuit_breaker_options options,
                                                                  duration call_limit) {
        const duration between_calls = options.max_backoff > call_limit + options.initial_backoff
                                           ? options.max_backoff
                                           : call_limit + options.initial_backoff;
        return between_calls + call_limit;
    }

private:
    circuit_breaker_options m_options;
    duration m_pause{};
    /// When the next call may be made; nothing while all may.
    std::optional<steady_time> m_next_at;
    std::optional<steady_time> m_succeeded_at;
    /// When the last failure was noted that made a pause.
    std::optional<steady_time> m_failed_at;
};

} // namespace dragonflywell::policy
