#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// How far a host has followed a topic of the store, by reading it or by what a host that reads for others tells.
/// Decides when to read. Pure state; not thread safe.
class topic_progress {
public:
    /// Returns where to read on, or nothing while the topic has to be listed first.
    [[nodiscard]] std::optional<std::uint64_t> get_next_offset() const noexcept { return m_next; }

    /// Notes that the store was read, or listed, up to an offset, while the topic ended at `topic_end_offset` at that
    /// moment. What was read of a longer topic is no news of its end.
    void record_read(std::uint64_t end, std::uint64_t topic_end_offset, steady_time at) {
        m_next = std::max(m_next.value_or(0), end);
        m_read_end = std::max(m_read_end, end);
        m_known_end = std::max(m_known_end, topic_end_offset);
        if (get_lag() == 0) {
            m_fresh_at = std::max(m_fresh_at, at);
        }
    }

    /// Notes that the records to go on from are not kept: the topic has to be listed.
    void record_truncation() noexcept { m_next.reset(); }

    /// Returns whether a listing shows the topic as it was before what has been read. It must not replace that.
    [[nodiscard]] bool is_stale_listing(std::uint64_t listed_end) const noexcept { return listed_end < m_read_end; }

    /// Returns how many records are known to be missing here. Where only the newest record of a key matters, a topic
    /// that is more than one behind is listed rather than read record by record.
    [[nodiscard]] std::uint64_t get_lag() const noexcept {
        const std::uint64_t next = m_next.value_or(0);
        return m_known_end > next ? m_known_end - next : 0;
    }

    /// Takes that another host has read up to an offset, some time ago. Returns whether this one is behind.
    bool update_leader_position(std::uint64_t end, duration age, steady_time now) {
        m_known_end = std::max(m_known_end, end);
        if (m_next && *m_next >= end) {
            m_fresh_at = std::max(m_fresh_at, now - age);
        }
        return is_lagging();
    }

    /// Returns whether records that another host passes on, from `from` to before `end`, are the next ones here.
    [[nodiscard]] bool is_next(std::uint64_t from) const noexcept { return m_next && *m_next == from; }

    /// Returns whether the store has to be read: something is missing, or nothing was heard for too long.
    [[nodiscard]] bool is_read_due(duration longest_age, steady_time now) const {
        return is_lagging() || now - m_fresh_at >= longest_age;
    }

    /// Returns whether records are known to be missing here.
    [[nodiscard]] bool is_lagging() const noexcept { return !m_next || get_lag() > 0; }

    /// Returns the last moment at which the topic was known to be followed to its end.
    [[nodiscard]] steady_time get_caught_up_at() const noexcept { return m_fresh_at; }

    /// Returns how long ago the topic was known to be followed to its end.
    [[nodiscard]] duration get_staleness(steady_time now) const { return now - m_fresh_at; }

private:
    std::optional<std::uint64_t> m_next;
    steady_time m_fresh_at{};
    /// Largest offset up to which the topic was read; stays when the records to go on from are not kept.
    std::uint64_t m_read_end{0};
    /// Largest end of the topic that was heard of.
    std::uint64_t m_known_end{0};
};

} // namespace dragonflywell::policy
