#include "policy/server_announcements.hpp"

#include <algorithm>

namespace dragonflywell::policy {

bool server_announcements::record_leaving(const backend_server_name& server, std::uint64_t incarnation) {
    const auto known = m_leaving.find(server);
    if (known != m_leaving.end()) {
        const bool is_new = known->second != incarnation;
        known->second = incarnation;
        return is_new;
    }
    if (m_leaving.size() >= m_options.max_servers) {
        m_leaving.erase(m_leaving.begin());
    }
    m_leaving.emplace(server, incarnation);
    return true;
}

bool server_announcements::is_valid_pause(std::optional<duration> pause) const noexcept {
    return pause && *pause >= duration::zero() && *pause <= m_options.max_pause;
}

duration server_announcements::record_pause(const backend_server_name& server, std::optional<duration> pause,
                                            double spread, steady_time now) {
    const duration asked = is_valid_pause(pause) ? *pause : m_options.default_pause;
    const auto part = std::chrono::duration_cast<duration>(asked * m_options.spread_fraction * spread);
    const duration granted = asked + std::min(part, m_options.max_spread);
    std::erase_if(m_paused_until, [&](const auto& item) { return item.second <= now; });
    if (m_paused_until.size() < m_options.max_servers) {
        steady_time& until = m_paused_until[server];
        until = std::max(until, now + granted);
    }
    return granted;
}

void server_announcements::record_mismatch(const backend_server_name& server, std::uint64_t incarnation,
                                           steady_time sent_at) {
    std::erase_if(m_mismatched, [&](const auto& item) { return item.second.at + m_options.mismatch_time <= sent_at; });
    if (m_mismatched.size() < m_options.max_servers) {
        m_mismatched[server] = {.incarnation = incarnation, .at = sent_at};
    }
}

bool server_announcements::is_mismatched(const backend_server_name& server, std::uint64_t incarnation,
                                         steady_time changed_at, steady_time now) const {
    const auto known = m_mismatched.find(server);
    return known != m_mismatched.end() && known->second.incarnation == incarnation && changed_at <= known->second.at &&
           now < known->second.at + m_options.mismatch_time;
}

bool server_announcements::is_leaving(const backend_server_name& server, std::uint64_t incarnation) const {
    const auto known = m_leaving.find(server);
    return known != m_leaving.end() && known->second == incarnation;
}

std::optional<steady_time> server_announcements::get_pause_end(const backend_server_name& server,
                                                               steady_time now) const {
    const auto known = m_paused_until.find(server);
    if (known == m_paused_until.end() || known->second <= now) {
        return std::nullopt;
    }
    return known->second;
}

} // namespace dragonflywell::policy
