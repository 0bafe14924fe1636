#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/clock.hpp"
#include "core/log_position.hpp"

namespace dragonflywell::policy {

/// Progress of a host that consumes a topic of the store, either by reading it or through the group leader, which
/// reports how far it has read. Decides when the host has to read the topic itself. Positions of an earlier era of the
/// store say nothing about the present topic, so that it is listed anew in each era. Performs no I/O. Not thread safe.
class topic_progress {
public:
    /// Returns the position of the next record to read, or nothing if the topic must be listed first.
    [[nodiscard]] std::optional<log_position> get_next_position() const noexcept {
        return m_next && m_next->era == m_known_end.era ? m_next : std::nullopt;
    }

    /// Returns the newest era of the store that is known here.
    [[nodiscard]] std::uint64_t get_era() const noexcept { return m_known_end.era; }

    /// Records that the store is in this era at least. Returns whether that is news, so that the topic must be listed.
    bool note_era(std::uint64_t era) {
        if (era <= m_known_end.era) {
            return false;
        }
        m_known_end = {.era = era, .offset = 0};
        return true;
    }

    /// Records that the store was read or listed up to `next`, and that the topic ended at `end` at the time `at`. The
    /// topic counts as up to date at `at` only if no record up to its end is missing. What was read in an earlier era
    /// than the newest known one is ignored. Precondition: both positions are of one era.
    void record_read(const log_position& next, const log_position& end, steady_time at) {
        if (next.era < m_known_end.era) {
            return;
        }
        m_next = m_next ? std::max(*m_next, next) : next;
        m_read_end = std::max(m_read_end, next);
        m_known_end = std::max({m_known_end, end, next});
        if (get_lag() == 0) {
            m_caught_up_at = std::max(m_caught_up_at, at);
        }
    }

    /// Records that the store does not retain the next records any more, so that the topic must be listed.
    void record_truncation() noexcept { m_next.reset(); }

    /// Returns whether a listing is older than the state that was read already, or of an earlier era than the newest
    /// known one. Such a listing must not replace that state.
    [[nodiscard]] bool is_stale_listing(const log_position& listed_end) const noexcept {
        return listed_end < m_read_end || listed_end.era < m_known_end.era;
    }

    /// Returns the lag in records of the present era, as far as it is known. A topic of which only the newest record
    /// for each key matters is listed if the lag exceeds one record, instead of being read record by record.
    [[nodiscard]] std::uint64_t get_lag() const noexcept {
        const std::optional<log_position> next = get_next_position();
        const std::uint64_t offset = next ? next->offset : 0;
        return m_known_end.offset > offset ? m_known_end.offset - offset : 0;
    }

    /// Records that the group leader had read the topic up to `end` at the time `age` before now. A position of an
    /// earlier era confirms nothing. Returns whether this host lags behind.
    bool update_leader_position(const log_position& end, duration age, steady_time now) {
        m_known_end = std::max(m_known_end, end);
        const std::optional<log_position> next = get_next_position();
        if (next && next->era == end.era && *next >= end) {
            m_caught_up_at = std::max(m_caught_up_at, now - age);
        }
        return is_lagging();
    }

    /// Returns whether a page that was read from `from` on continues what this host has read.
    [[nodiscard]] bool is_next(const log_position& from) const noexcept { return get_next_position() == from; }

    /// Returns whether no record is missing between what this host has read and a page of records from `from` on. The
    /// page may begin with records that this host has read already.
    [[nodiscard]] bool is_connected(const log_position& from) const noexcept {
        const std::optional<log_position> next = get_next_position();
        return next && next->era == from.era && from <= *next;
    }

    /// Returns whether the store must be read: records are missing, or the last confirmation that this host is up to
    /// date is `max_age` old.
    [[nodiscard]] bool is_read_due(duration max_age, steady_time now) const {
        return is_lagging() || now - m_caught_up_at >= max_age;
    }

    /// Returns whether records are known to be missing, or the topic must be listed.
    [[nodiscard]] bool is_lagging() const noexcept { return !get_next_position() || get_lag() > 0; }

    /// Returns when this host was last known to be up to date with the end of the topic.
    [[nodiscard]] steady_time get_caught_up_at() const noexcept { return m_caught_up_at; }

    /// Returns how long ago this host was last known to be up to date with the end of the topic.
    [[nodiscard]] duration get_staleness(steady_time now) const { return now - m_caught_up_at; }

private:
    std::optional<log_position> m_next;
    steady_time m_caught_up_at{};
    /// Latest position up to which the topic was read. It is kept when the next records are not retained.
    log_position m_read_end;
    /// Latest known end of the topic, from reads and from the group leader; offset 0 in an era that was not read yet.
    log_position m_known_end;
};

} // namespace dragonflywell::policy
