#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// How far a host has followed a topic of the store, by reading it or by what a host that reads for others tells.
/// Decides when to read. Pure state; not thread safe.
class followed_topic {
public:
    /// Returns where to read on, or nothing while the topic has to be listed first.
    [[nodiscard]] std::optional<std::uint64_t> get_next() const noexcept { return m_next; }

    /// Notes that the store was read, or listed, up to an offset.
    void note_read(std::uint64_t end, steady_time now) {
        m_next = std::max(m_next.value_or(0), end);
        m_fresh_at = now;
        m_is_behind = false;
    }

    /// Notes that the records to go on from are not kept: the topic has to be listed.
    void note_dropped() noexcept { m_next.reset(); }

    /// Takes that another host has read up to an offset, some time ago. Returns whether this one is behind.
    bool take_hint(std::uint64_t end, duration age, steady_time now) {
        if (m_next && *m_next >= end) {
            m_fresh_at = std::max(m_fresh_at, now - age);
        } else {
            m_is_behind = true;
        }
        return m_is_behind;
    }

    /// Returns whether records that another host passes on, from `from` to before `end`, are the next ones here.
    [[nodiscard]] bool is_next(std::uint64_t from) const noexcept { return m_next && *m_next == from; }

    /// Returns whether the store has to be read: something is missing, or nothing was heard for too long.
    [[nodiscard]] bool is_due(duration longest_age, steady_time now) const {
        return !m_next || m_is_behind || now - m_fresh_at >= longest_age;
    }

    /// Returns how long ago the topic was known to be followed to its end.
    [[nodiscard]] duration get_age(steady_time now) const { return now - m_fresh_at; }

private:
    std::optional<std::uint64_t> m_next;
    steady_time m_fresh_at{};
    bool m_is_behind{false};
};

} // namespace dragonflywell::policy
