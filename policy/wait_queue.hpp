#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/clock.hpp"
#include "policy/circuit_breaker.hpp"

namespace dragonflywell::policy {

/// The users of a dependency that wait for it, in the order in which they came. The first one may call when the breaker
/// allows a call; all may as soon as a call was answered. Who fails waits again behind the others, so that none is kept
/// from trying. Pure state; not thread safe.
class wait_queue {
public:
    using ticket = std::uint64_t;

    /// Adds a user at the end.
    [[nodiscard]] ticket join() {
        m_waiting.push_back(m_next);
        return m_next++;
    }

    /// Takes a user out. It may have been out before.
    void leave(ticket user) { std::erase(m_waiting, user); }

    [[nodiscard]] bool is_empty() const noexcept { return m_waiting.empty(); }

    /// Returns until when a user has to wait at least; nothing when only a change of the queue or of the breaker can
    /// end its wait. A moment that has passed means that it may call.
    [[nodiscard]] std::optional<steady_time> get_wait_end(ticket user, const circuit_breaker& breaker) const {
        if (!breaker.get_next_call_at()) {
            return steady_time::min();
        }
        const bool is_first = !m_waiting.empty() && m_waiting.front() == user;
        return is_first ? breaker.get_next_call_at() : std::nullopt;
    }

private:
    std::deque<ticket> m_waiting;
    ticket m_next{0};
};

} // namespace dragonflywell::policy
