#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Decides whether a host records the usage of a billing window itself or leaves it to its group leader, which records
/// the usage of the whole group: one call for a group costs less than one call for each host. Performs no I/O. Not
/// thread safe.
class usage_delegation {
public:
    /// `max_wait`: maximum time after the end of a window to wait for the group leader.
    explicit usage_delegation(duration max_wait) : m_max_wait(max_wait) {}

    /// Sets whether another host is the group leader and receives the digests of this host.
    void set_delegated(bool is_delegated) noexcept { m_is_delegated = is_delegated; }

    /// Records that the group leader has recorded this host's counts up to and including a window that has ended.
    void note_recorded(std::int64_t window) { m_recorded = std::max(m_recorded.value_or(window), window); }

    /// What the group leader has recorded is lost.
    void forget_recorded() noexcept { m_recorded.reset(); }

    enum class choice : std::uint8_t { record, wait, is_recorded };

    /// Returns what to do for `window`, the newest window that has ended. `recorded`: the newest window that is known
    /// to be recorded. `time_since_end`: time since the end of the window.
    [[nodiscard]] choice choose(std::int64_t window, std::int64_t recorded, duration time_since_end) const {
        // Digests carry only the newest windows. After a long outage, more windows are missing than the group leader
        // knows.
        if (window - recorded > max_gossiped_windows) {
            return choice::record;
        }
        if (m_recorded && *m_recorded >= window) {
            return choice::is_recorded;
        }
        return m_is_delegated && time_since_end < m_max_wait ? choice::wait : choice::record;
    }

    /// Number of ended windows that the digest of a host carries.
    static constexpr std::int64_t max_gossiped_windows = 2;

private:
    duration m_max_wait;
    bool m_is_delegated{false};
    std::optional<std::int64_t> m_recorded;
};

} // namespace dragonflywell::policy
