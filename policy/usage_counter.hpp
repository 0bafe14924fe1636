#pragma once

#include <cstdint>
#include <map>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Number of requests that started in one window, by organisation.
using window_counts = std::map<organisation_name, std::uint64_t>;

/// Counts the requests that started during this incarnation of the daemon, by billing window. Not thread safe.
class usage_counter {
public:
    /// Precondition: `window_length` is positive.
    explicit usage_counter(duration window_length) : m_window_length(window_length) {}

    void add(const organisation_name& organisation, wall_time moment) { ++m_windows[get_window(moment)][organisation]; }

    /// Returns the number of the window that contains the moment.
    [[nodiscard]] std::int64_t get_window(wall_time moment) const noexcept {
        return moment.time_since_epoch() / m_window_length;
    }
    [[nodiscard]] wall_time get_end(std::int64_t window) const noexcept {
        return wall_time(m_window_length * (window + 1));
    }

    [[nodiscard]] const std::map<std::int64_t, window_counts>& get_windows() const noexcept { return m_windows; }

    /// Removes all windows before this one.
    void forget_before(std::int64_t window) { m_windows.erase(m_windows.begin(), m_windows.lower_bound(window)); }

private:
    duration m_window_length;
    std::map<std::int64_t, window_counts> m_windows;
};

} // namespace dragonflywell::policy
