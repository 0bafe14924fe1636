#pragma once

#include <algorithm>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::fleet {

struct list_reachability_options {
    /// From the earliest moment at which the list may have been back to the one at which an entry that is still missing
    /// counts as gone.
    duration recovery_grace{std::chrono::milliseconds(2500)};
    /// Shortest time without the list in which the entry of a live server can lapse.
    duration min_outage{std::chrono::milliseconds(2400)};
};

/// What is known of when the list of backend servers could be read, by this host or by one that told it. All moments
/// are those of the reads, not those at which this host learns of them, so that late news make nothing look younger
/// than it is. Pure state; not thread safe.
class list_reachability {
public:
    explicit list_reachability(list_reachability_options options) : m_options(options) {}

    /// Notes a read that was answered. Older ones than the newest known say nothing new.
    void record_success(steady_time at) {
        if (m_reached_at && at <= *m_reached_at) {
            return;
        }
        if (m_reached_at && at - *m_reached_at >= m_options.min_outage) {
            const steady_time not_before = std::max(*m_reached_at, m_failed_at.value_or(*m_reached_at));
            m_returned_at = std::min(not_before, at);
        }
        m_reached_at = at;
        if (m_failing_since && *m_failing_since <= at) {
            m_failing_since.reset();
        }
    }

    /// Notes a call that was sent at that moment and failed.
    void record_failure(steady_time sent_at) {
        m_failed_at = std::max(sent_at, m_failed_at.value_or(sent_at));
        const bool is_news = !m_reached_at || sent_at > *m_reached_at;
        if (is_news && !m_failing_since) {
            m_failing_since = sent_at;
        }
    }

    /// Returns whether an entry that is missing now may have lapsed while the list was out of reach.
    [[nodiscard]] bool may_have_expired(steady_time now) const {
        return m_returned_at && now < *m_returned_at + m_options.recovery_grace;
    }

    /// Returns whether live servers have had the time to enter themselves again. They have not when the list was lost
    /// once more before that; what was over stays over.
    [[nodiscard]] bool is_grace_over(steady_time now) const {
        if (may_have_expired(now)) {
            return false;
        }
        return !m_failing_since || !m_returned_at || *m_failing_since >= *m_returned_at + m_options.recovery_grace;
    }

private:
    list_reachability_options m_options;
    std::optional<steady_time> m_reached_at;
    std::optional<steady_time> m_failed_at;
    /// When the first call failed since the list was last read.
    std::optional<steady_time> m_failing_since;
    /// Earliest moment at which the list may have been back after it was last out of reach for long.
    std::optional<steady_time> m_returned_at;
};

} // namespace dragonflywell::fleet
