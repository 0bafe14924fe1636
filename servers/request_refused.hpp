#pragma once

#include <chrono>
#include <string>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "policy/outcome.hpp"

namespace dragonflywell::servers {

/// Ends a request with a typed refusal. It is normally thrown before any byte of the response is sent.
class request_refused : public error {
public:
    /// `retry_after` is the value of Retry-After, for statuses that carry it.
    request_refused(policy::refusal_reason reason, policy::request_outcome outcome, const std::string& message,
                    duration retry_after = std::chrono::seconds(1))
        : error(message), m_reason(reason), m_outcome(outcome), m_retry_after(retry_after) {}

    [[nodiscard]] policy::refusal_reason get_reason() const noexcept { return m_reason; }
    [[nodiscard]] policy::request_outcome get_outcome() const noexcept { return m_outcome; }
    [[nodiscard]] duration get_retry_after() const noexcept { return m_retry_after; }

private:
    policy::refusal_reason m_reason;
    policy::request_outcome m_outcome;
    duration m_retry_after;
};

} // namespace dragonflywell::servers
