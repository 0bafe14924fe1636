#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Progress of a host that consumes a topic of the store, either by reading it or through the group leader, which
/// reports how far it has read. Decides when the host has to read the topic itself. Performs no I/O. Not thread safe.
class topic_progress {
public:
    /// Returns the offset of the next record to read, or nothing if the topic must be listed first.
    [[nodiscard]] std::optional<std::uint64_t> get_next_offset() const noexcept { return m_next_offset; }

    /// Records that the store was read or listed up to `end`, and that the topic ended at `topic_end_offset` at the
    /// time `at`. The topic counts as up to date at `at` only if no record up to its end is missing.
    void record_read(std::uint64_t end, std::uint64_t topic_end_offset, steady_time at) {
        m_next_offset = std::max(m_next_offset.value_or(0), end);
        m_read_end = std::max(m_read_end, end);
        m_known_end = std::max(m_known_end, topic_end_offset);
        if (get_lag() == 0) {
            m_caught_up_at = std::max(m_caught_up_at, at);
        }
    }

    /// Records that the store does not retain the next records any more, so that the topic must be listed.
    void record_truncation() noexcept { m_next_offset.reset(); }

    /// Returns whether a listing is older than the state that was read already. Such a listing must not replace it.
    [[nodiscard]] bool is_stale_listing(std::uint64_t listed_end) const noexcept { return listed_end < m_read_end; }

    /// Returns the lag in records, as far as it is known. A topic of which only the newest record for each key matters
    /// is listed if the lag exceeds one record, instead of being read record by record.
    [[nodiscard]] std::uint64_t get_lag() const noexcept {
        const std::uint64_t next = m_next_offset.value_or(0);
        return m_known_end > next ? m_known_end - next : 0;
    }

    /// Records that the group leader had read the topic up to `end` at the time `age` before now. Returns whether this
    /// host lags behind.
    bool update_leader_position(std::uint64_t end, duration age, steady_time now) {
        m_known_end = std::max(m_known_end, end);
        if (m_next_offset && *m_next_offset >= end) {
            m_caught_up_at = std::max(m_caught_up_at, now - age);
        }
        return is_lagging();
    }

    /// Returns whether records that the group leader relays, which start at `from`, continue what this host has read.
    [[nodiscard]] bool is_next(std::uint64_t from) const noexcept { return m_next_offset && *m_next_offset == from; }

    /// Returns whether the store must be read: records are missing, or the last confirmation that this host is up to
    /// date is `max_age` old.
    [[nodiscard]] bool is_read_due(duration max_age, steady_time now) const {
        return is_lagging() || now - m_caught_up_at >= max_age;
    }

    /// Returns whether records are known to be missing, or the topic must be listed.
    [[nodiscard]] bool is_lagging() const noexcept { return !m_next_offset || get_lag() > 0; }

    /// Returns when this host was last known to be up to date with the end of the topic.
    [[nodiscard]] steady_time get_caught_up_at() const noexcept { return m_caught_up_at; }

    /// Returns how long ago this host was last known to be up to date with the end of the topic.
    [[nodiscard]] duration get_staleness(steady_time now) const { return now - m_caught_up_at; }

private:
    std::optional<std::uint64_t> m_next_offset;
    steady_time m_caught_up_at{};
    /// Largest offset up to which the topic was read. It is kept when the next records are not retained.
    std::uint64_t m_read_end{0};
    /// Largest known end of the topic, from reads and from the group leader.
    std::uint64_t m_known_end{0};
};

} // namespace dragonflywell::policy
