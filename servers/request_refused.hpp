#pragma once

#include <string>

#include "core/error.hpp"
#include "policy/outcome.hpp"

namespace dragonflywell::servers {

/// Ends a request with a typed refusal. Thrown before any byte of the answer was sent.
class request_refused : public error {
public:
    request_refused(policy::refusal_reason reason, policy::request_outcome outcome, const std::string& message)
        : error(message), m_reason(reason), m_outcome(outcome) {}

    [[nodiscard]] policy::refusal_reason get_reason() const noexcept { return m_reason; }
    [[nodiscard]] policy::request_outcome get_outcome() const noexcept { return m_outcome; }

private:
    policy::refusal_reason m_reason;
    policy::request_outcome m_outcome;
};

} // namespace dragonflywell::servers
