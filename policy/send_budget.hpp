#pragma once

#include <cstddef>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct send_budget_options {
    /// Rate that is sustained. Precondition: positive.
    double bytes_per_second{};
    /// What may be sent at once after a pause.
    double burst_bytes{};
};

/// Limits what is sent to a rate (token bucket). A datagram may be sent as soon as anything is left, and what exceeds
/// it is owed. So within any time t at most `bytes_per_second * t + burst_bytes` and one datagram are sent. Not thread
/// safe.
class send_budget {
public:
    explicit send_budget(send_budget_options options) noexcept : m_options(options), m_left(options.burst_bytes) {}

    /// Returns the time until something may be sent; zero if it may be sent now.
    [[nodiscard]] duration get_wait(steady_time now);

    /// Records that a datagram is sent now. Precondition: `get_wait(now)` is zero.
    void spend(std::size_t bytes, steady_time now);

    [[nodiscard]] const send_budget_options& get_options() const noexcept { return m_options; }

private:
    void refill(steady_time now);

    send_budget_options m_options;
    double m_left;
    steady_time m_refilled_at{};
};

} // namespace dragonflywell::policy
