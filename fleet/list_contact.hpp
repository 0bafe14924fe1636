#pragma once

#include <algorithm>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::fleet {

struct list_contact_options {
    /// From the earliest moment at which the list may have been back to the one at which an entry that is still missing
    /// counts as gone.
    duration return_grace{std::chrono::milliseconds(2500)};
    /// Shortest time without the list in which the entry of a live server can lapse.
    duration shortest_outage{std::chrono::milliseconds(2400)};
};

/// What is known of when the list of backend servers could be read, by this host or by one that told it. All moments
/// are those of the reads, not those at which this host learns of them, so that late news make nothing look younger
/// than it is. Pure state; not thread safe.
class list_contact {
public:
    explicit list_contact(list_contact_options options) : m_options(options) {}

    /// Notes a read that was answered. Older ones than the newest known say nothing new.
    void note_reached(steady_time at) {
        if (m_reached_at && at <= *m_reached_at) {
            return;
        }
        if (m_reached_at && at - *m_reached_at >= m_options.shortest_outage) {
            const steady_time not_before = std::max(*m_reached_at, m_failed_at.value_or(*m_reached_at));
            m_returned_at = std::min(not_before, at);
        }
        m_reached_at = at;
    }

    /// Notes a call that was sent at that moment and failed.
    void note_failed(steady_time sent_at) { m_failed_at = std::max(sent_at, m_failed_at.value_or(sent_at)); }

    /// Returns whether an entry that is missing now may have lapsed while the list was out of reach.
    [[nodiscard]] bool may_have_lapsed(steady_time now) const {
        return m_returned_at && now < *m_returned_at + m_options.return_grace;
    }

    /// Returns whether live servers have had the time to enter themselves again. Not while the list is away once more.
    [[nodiscard]] bool is_grace_over(steady_time now) const { return !is_away() && !may_have_lapsed(now); }

private:
    [[nodiscard]] bool is_away() const { return m_failed_at && m_reached_at && *m_failed_at > *m_reached_at; }

    list_contact_options m_options;
    std::optional<steady_time> m_reached_at;
    std::optional<steady_time> m_failed_at;
    /// Earliest moment at which the list may have been back after it was last out of reach for long.
    std::optional<steady_time> m_returned_at;
};

} // namespace dragonflywell::fleet
