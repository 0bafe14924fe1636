#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Decides whether a host records a window's usage itself, or leaves it to the host that speaks for its group: one call
/// for a group costs less than one for each host. Pure state; not thread safe.
class usage_delegation {
public:
    /// `patience`: how long after a window's end a host waits for the speaker, at most.
    explicit usage_delegation(duration patience) : m_patience(patience) {}

    /// Whether another host speaks for the group and hears this one.
    void set_delegated(bool is_delegated) noexcept { m_is_delegated = is_delegated; }

    /// Notes that the speaker has recorded this host's counts up to a window that is over.
    void note_recorded(std::int64_t window) { m_recorded = std::max(m_recorded.value_or(window), window); }

    enum class choice : std::uint8_t { record, wait, is_recorded };

    /// Returns what to do about the newest window that is over. `recorded`: the newest one known to be recorded;
    /// `over_for`: how long ago the window ended.
    [[nodiscard]] choice choose(std::int64_t window, std::int64_t recorded, duration over_for) const {
        // Hosts tell each other only of the newest windows; after a long outage more is missing.
        if (window - recorded > max_gossiped_windows) {
            return choice::record;
        }
        if (m_recorded && *m_recorded >= window) {
            return choice::is_recorded;
        }
        return m_is_delegated && over_for < m_patience ? choice::wait : choice::record;
    }

    /// Windows that are over of which a host's digest tells.
    static constexpr std::int64_t max_gossiped_windows = 2;

private:
    duration m_patience;
    bool m_is_delegated{false};
    std::optional<std::int64_t> m_recorded;
};

} // namespace dragonflywell::policy
