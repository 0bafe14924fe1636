#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/clock.hpp"
#include "policy/circuit_breaker.hpp"

namespace dragonflywell::policy {

/// FIFO queue of callers that wait for a failing dependency. The first caller makes the next probe call that the
/// circuit breaker permits; all callers may call as soon as a call was answered. A caller whose call fails joins the
/// queue again at its end, so that none starves. Performs no I/O. Not thread safe.
class wait_queue {
public:
    using ticket = std::uint64_t;

    /// Adds a caller at the end.
    [[nodiscard]] ticket join() {
        m_waiting.push_back(m_next_ticket);
        return m_next_ticket++;
    }

    /// Removes a caller. Does nothing if it is not in the queue.
    void leave(ticket caller) { std::erase(m_waiting, caller); }

    [[nodiscard]] bool is_empty() const noexcept { return m_waiting.empty(); }

    /// Returns the earliest time at which a caller may call; a time in the past means now. Returns nothing if only a
    /// change of the queue or of the circuit breaker can end its wait.
    [[nodiscard]] std::optional<steady_time> get_wait_end(ticket caller, const circuit_breaker& breaker) const {
        if (!breaker.get_next_call_at()) {
            return steady_time::min();
        }
        const bool is_first = !m_waiting.empty() && m_waiting.front() == caller;
        return is_first ? breaker.get_next_call_at() : std::nullopt;
    }

private:
    std::deque<ticket> m_waiting;
    ticket m_next_ticket{0};
};

} // namespace dragonflywell::policy
