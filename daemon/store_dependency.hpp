#pragma once

#include <optional>
#include <spdlog/logger.h>
#include <string>

#include "core/clock.hpp"
#include "core/log_event.hpp"

namespace dragonflywell::daemon {

/// Logs once when a dependency of this host becomes unavailable, and once when it becomes available again.
/// Not thread safe.
class store_dependency {
public:
    /// `what`: name of the dependency in the log. Precondition: `log` outlives the object.
    store_dependency(spdlog::logger& log, std::string what) : m_log(&log), m_what(std::move(what)) {}

    /// Records a successful call. Returns whether the dependency was unavailable before.
    bool record_success(steady_time now) {
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

    /// Records a failed call. Returns whether the dependency was available before.
    bool record_failure(steady_time now, std::string_view reason) {
        if (m_lost_at) {
            return false;
        }
        m_lost_at = now;
        log_event("dependency_lost").add("what", m_what).add("reason", reason).write(*m_log, spdlog::level::warn);
        return true;
    }

    [[nodiscard]] bool is_unavailable() const noexcept { return m_lost_at.has_value(); }

private:
    spdlog::logger* m_log;
    std::string m_what;
    std::optional<steady_time> m_lost_at;
};

} // namespace dragonflywell::daemon
