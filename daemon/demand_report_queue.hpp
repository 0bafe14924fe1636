#pragma once

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

#include "policy/demand_report.hpp"

namespace dragonflywell::daemon {

/// Queue of demand reports for the zone control task: those of this host and those of other entry hosts from the log.
///
/// Thread safe. Bounded: when the control thread falls behind, the oldest reports are dropped.
class demand_report_queue {
public:
    void add(policy::demand_report report) {
        const std::scoped_lock lock(m_mutex);
        if (m_reports.size() >= max_reports) {
            m_reports.erase(m_reports.begin());
        }
        m_reports.push_back(std::move(report));
    }

    /// Removes and returns all queued reports, oldest first.
    [[nodiscard]] std::vector<policy::demand_report> take() {
        const std::scoped_lock lock(m_mutex);
        return std::exchange(m_reports, {});
    }

private:
    static constexpr std::size_t max_reports = 4096;

    std::mutex m_mutex;
    std::vector<policy::demand_report> m_reports;
};

} // namespace dragonflywell::daemon
