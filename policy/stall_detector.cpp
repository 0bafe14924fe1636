#include "policy/stall_detector.hpp"

#include <algorithm>
#include <utility>

namespace dragonflywell::policy {

namespace {

bool is_any_overdue(const std::list<steady_time>& waiting, steady_time now) {
    return std::any_of(waiting.begin(), waiting.end(), [now](steady_time overdue_at) { return now >= overdue_at; });
}

} // namespace

stall_detector::pending_request::pending_request(stall_detector& watch, backend_server_name server,
                                                 steady_time overdue_at)
    : m_detector(&watch), m_server(std::move(server)) {
    std::list<steady_time>& overdue_times = m_detector->m_waiting[m_server];
    m_entry = overdue_times.insert(overdue_times.end(), overdue_at);
}

void stall_detector::pending_request::end() {
    if (std::exchange(m_has_ended, true)) {
        return;
    }
    const auto found = m_detector->m_waiting.find(m_server);
    found->second.erase(m_entry);
    if (found->second.empty()) {
        m_detector->m_waiting.erase(found);
    }
}

stall_detector::pending_request stall_detector::track(const backend_server_name& server, steady_time now,
                                                      duration expected) {
    return {*this, server, now + expected * m_options.timeout_factor + m_options.timeout_margin};
}

bool stall_detector::is_stalled(const backend_server_name& server, steady_time now) const {
    const auto found = m_waiting.find(server);
    return found != m_waiting.end() && is_any_overdue(found->second, now);
}

std::vector<backend_server_name> stall_detector::get_stalled(steady_time now) const {
    std::vector<backend_server_name> silent;
    for (const auto& [server, waiting] : m_waiting) {
        if (is_any_overdue(waiting, now)) {
            silent.push_back(server);
        }
    }
    return silent;
}

} // namespace dragonflywell::policy
