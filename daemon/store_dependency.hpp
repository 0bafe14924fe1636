#pragma once

#include <algorithm>
#include <optional>
#include <spdlog/logger.h>
#include <string>

#include "core/clock.hpp"
#include "core/log_event.hpp"

namespace dragonflywell::daemon {

/// Tells once when something that this host depends on is lost, and once when it is regained. Not thread safe.
class store_dependency {
public:
    /// Precondition: `log` outlives it.
    store_dependency(spdlog::logger& log, std::string what) : m_log(&log), m_what(std::move(what)) {}

    /// Notes a success. Returns whether it was lost before.
    bool set_reached(steady_time now) {
        m_failures = 0;
        if (!m_lost_at) {
            return false;
        }
        log_event("dependency_regained")
            .add("what", m_what)
            .add("lost_for_ms", now - *m_lost_at)
            .write(*m_log, spdlog::level::warn);
        m_lost_at.reset();
        return true;
    }

    /// Notes a failure. Returns whether it was reached before.
    bool set_lost(steady_time now, std::string_view reason) {
        ++m_failures;
        if (m_lost_at) {
            return false;
        }
        m_lost_at = now;
        log_event("dependency_lost").add("what", m_what).add("reason", reason).write(*m_log, spdlog::level::warn);
        return true;
    }

    [[nodiscard]] bool is_lost() const noexcept { return m_lost_at.has_value(); }

    /// Returns how long to wait after the last failure: twice as long after each further one, since all hosts ask again
    /// when many calls fail, and each call is paid for.
    [[nodiscard]] duration get_retry_pause() const {
        const unsigned doublings = std::min(m_failures, most_doublings + 1) - (m_failures > 0 ? 1 : 0);
        return first_retry_pause * (1U << doublings);
    }

private:
    static constexpr duration first_retry_pause = std::chrono::milliseconds(150);
    /// Bounds the pause to 1.2 s, well inside the time after which bounds hold again once the store is back.
    static constexpr unsigned most_doublings = 3;

    spdlog::logger* m_log;
    std::string m_what;
    std::optional<steady_time> m_lost_at;
    unsigned m_failures{0};
};

} // namespace dragonflywell::daemon
