#pragma once

#include <algorithm>
#include <optional>

#include "core/clock.hpp"

namespace dragonflywell::fleet {

struct list_reachability_options {
    /// If an entry is still missing this long after the earliest time at which the list may have been reachable again,
    /// its server counts as removed.
    duration recovery_grace{std::chrono::milliseconds(2500)};
    /// Only an outage of the list that is at least this long can make the entry of a running server expire.
    duration min_outage{std::chrono::milliseconds(2400)};
};

/// Tracks when the list of backend servers could be read, by this host or by another host that reported it. All times
/// are those of the reads, not of the reports, so that a delayed report does not make a read look more recent than it
/// is. Pure state; not thread safe.
class list_reachability {
public:
    explicit list_reachability(list_reachability_options options) : m_options(options) {}

    /// Records a successful read. A read that is older than the newest known one changes nothing.
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

    /// Records that the list is known, since this time, to have returned from an older copy. Entries of running servers
    /// may be missing in it, however short the outage was.
    void record_restored(steady_time at) {
        const std::optional<steady_time> last_call_at = std::max(m_reached_at, m_failed_at);
        m_returned_at = std::min(last_call_at.value_or(at), at);
    }

    /// Records a failed call that was sent at this time.
    void record_failure(steady_time sent_at) {
        m_failed_at = std::max(sent_at, m_failed_at.value_or(sent_at));
        const bool is_news = !m_reached_at || sent_at > *m_reached_at;
        if (is_news && !m_failing_since) {
            m_failing_since = sent_at;
        }
    }

    /// Returns whether an entry that is missing now may have expired because the list was unreachable.
    [[nodiscard]] bool may_have_expired(steady_time now) const {
        return m_returned_at && now < *m_returned_at + m_options.recovery_grace;
    }

    /// Returns whether all running servers have had time to register again. They have not if the list became
    /// unreachable once more before the grace period was over; a grace period that was over stays over.
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
    /// Time of the first failed call since the list was last read.
    std::optional<steady_time> m_failing_since;
    /// Earliest time at which the list may have been reachable again after its last long outage.
    std::optional<steady_time> m_returned_at;
};

} // namespace dragonflywell::fleet
