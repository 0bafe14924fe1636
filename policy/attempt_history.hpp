#pragma once

#include <set>

#include "core/identifiers.hpp"
#include "policy/outcome.hpp"

namespace dragonflywell::policy {

/// What was tried so far for one request, and hence what its caller may be told. Not thread safe.
///
/// `not_run` can be said only while no attempt has written a byte: the history is the one place that says it.
class attempt_history {
public:
    /// `is_repeatable`: whether the request may be written to a second backend server after a first one.
    explicit attempt_history(bool is_repeatable) noexcept : m_is_repeatable(is_repeatable) {}

    /// Notes a failed attempt. `was_written`: whether a byte of the request may have been received.
    void add_failure(const backend_server_name& server, bool was_written);

    /// Returns whether a further attempt may be made.
    [[nodiscard]] bool may_retry(unsigned max_attempts) const noexcept;

    /// Returns what a caller is told when no further attempt is made.
    [[nodiscard]] request_outcome get_outcome() const noexcept;

    /// Returns the backend servers that failed; a further attempt goes elsewhere if it can.
    [[nodiscard]] const std::set<backend_server_name>& get_failed_servers() const noexcept { return m_tried; }
    [[nodiscard]] unsigned get_failures() const noexcept { return m_failures; }

private:
    bool m_is_repeatable;
    bool m_was_written{false};
    unsigned m_failures{0};
    std::set<backend_server_name> m_tried;
};

} // namespace dragonflywell::policy
