#pragma once

#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct circuit_breaker_options {
    /// Shortest wait after a failure. The interval between the starts of two probe calls begins with it and doubles
    /// with each probe.
    duration initial_backoff{std::chrono::milliseconds(100)};
    /// Longest interval between the starts of two probe calls, unless a call itself takes longer. It is part of the
    /// time that is needed to resume work after the dependency has recovered.
    duration max_backoff{std::chrono::milliseconds(1000)};
};

/// Circuit breaker that all users of one dependency share. While the dependency fails, only one probe call at a time is
/// made for all of them, with exponential backoff: each call costs money, and more calls would only add load to a
/// failing dependency. Not thread safe.
class circuit_breaker {
public:
    explicit circuit_breaker(circuit_breaker_options options = {}) : m_options(options) {}

    /// Returns whether a call may be made now. While the dependency fails, a return value of true claims the probe for
    /// the length of the backoff, so the caller must make the call. The probe expires even if its result is never
    /// reported.
    [[nodiscard]] bool may_call(steady_time now);

    /// Records that a call was answered. All calls are permitted again.
    void on_success(steady_time now);

    /// Records that a call sent at `sent_at` failed. It is ignored if another call has been answered since `sent_at`.
    void on_failure(steady_time sent_at, steady_time now);

    /// Returns when the next probe call may be made, or nothing while all calls are permitted.
    [[nodiscard]] std::optional<steady_time> get_next_call_at() const noexcept { return m_next_call_at; }

    /// Returns an upper bound on the time from the recovery of the dependency to the end of the first call that it
    /// answers. The bound assumes that a caller is always waiting and that no call takes longer than `call_limit`; it
    /// includes one probe that was sent just before the recovery and is lost.
    [[nodiscard]] static constexpr duration get_max_recovery_time(circuit_breaker_options options,
                                                                  duration call_limit) {
        const duration max_interval = options.max_backoff > call_limit + options.initial_backoff
                                          ? options.max_backoff
                                          : call_limit + options.initial_backoff;
        return max_interval + call_limit;
    }

private:
    circuit_breaker_options m_options;
    duration m_backoff{};
    /// When the next probe may be made; empty while all calls are permitted.
    std::optional<steady_time> m_next_call_at;
    std::optional<steady_time> m_succeeded_at;
    /// When the last failure that started a backoff was recorded.
    std::optional<steady_time> m_failed_at;
};

} // namespace dragonflywell::policy
