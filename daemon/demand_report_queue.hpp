#pragma once

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

#include "policy/demand_report.hpp"

namespace dragonflywell::daemon {

/// Where demand reports of all entry hosts wait for the zone's control: the own ones and those that the log brings.
///
/// Thread safe. Bounded: when the control thread does not fetch them, the oldest reports are dropped.
class demand_report_queue {
public:
    void add(policy::demand_report report) {
        const std::scoped_lock lock(m_mutex);
        if (m_reports.size() >= most_reports) {
            m_reports.erase(m_reports.begin());
        }
        m_reports.push_back(std::move(report));
    }

    /// Returns the reports that came in since the last call.
    [[nodiscard]] std::vector<policy::demand_report> take() {
        const std::scoped_lock lock(m_mutex);
        return std::exchange(m_reports, {});
    }

private:
    static constexpr std::size_t most_reports = 4096;

    std::mutex m_mutex;
    std::vector<policy::demand_report> m_reports;
};

} // namespace dragonflywell::daemon
