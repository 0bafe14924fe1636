#pragma once

#include <set>

#include "core/identifiers.hpp"
#include "policy/outcome.hpp"

namespace dragonflywell::policy {

/// Failed attempts of one request. They determine whether it may be retried and which outcome is reported to its
/// caller. Not thread safe.
///
/// The outcome is `not_run` only while no attempt has written a byte. No other class may report this outcome.
class attempt_history {
public:
    /// `is_repeatable`: whether the request may be sent to a second backend server after it was written to a first one.
    explicit attempt_history(bool is_repeatable) noexcept : m_is_repeatable(is_repeatable) {}

    /// Records a failed attempt. `was_written`: whether the backend server may have received a byte of the request.
    void add_failure(const backend_server_name& server, bool was_written);

    /// Returns whether a further attempt may be made, with at most the given number of attempts in all.
    [[nodiscard]] bool may_retry(unsigned max_attempts) const noexcept;

    /// Returns the outcome to report if no further attempt is made.
    [[nodiscard]] request_outcome get_outcome() const noexcept;

    /// Returns the backend servers that failed; a further attempt avoids them if it can.
    [[nodiscard]] const std::set<backend_server_name>& get_failed_servers() const noexcept { return m_tried; }
    [[nodiscard]] unsigned get_failures() const noexcept { return m_failures; }

private:
    bool m_is_repeatable;
    bool m_was_written{false};
    unsigned m_failures{0};
    std::set<backend_server_name> m_tried;
};

} // namespace dragonflywell::policy
