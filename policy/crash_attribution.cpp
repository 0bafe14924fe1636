#include "policy/crash_attribution.hpp"

#include <utility>

namespace dragonflywell::policy {

void crash_attribution::record_broken_exchange(crash_suspect suspect, const backend_server_name& server) {
    std::vector<crash_suspect>& broken = m_broken[server];
    remove_old(broken, suspect.broken_at);
    if (broken.size() >= m_options.max_per_server) {
        return;
    }
    m_part_count += suspect.waiting_parts.size();
    broken.push_back(std::move(suspect));
    while (m_part_count > m_options.max_parts) {
        drop_oldest_parts();
    }
}

std::vector<crash_suspect> crash_attribution::take_crash_suspects(const backend_server_name& server, steady_time now) {
    const auto found = m_broken.find(server);
    if (found == m_broken.end()) {
        return {};
    }
    remove_old(found->second, now);
    std::vector<crash_suspect> suspects = std::move(found->second);
    m_broken.erase(found);
    for (const crash_suspect& suspect : suspects) {
        m_part_count -= suspect.waiting_parts.size();
    }
    return suspects;
}

void crash_attribution::remove_old(std::vector<crash_suspect>& broken, steady_time now) {
    std::erase_if(broken, [&](const crash_suspect& item) {
        const bool is_old = now - item.broken_at > m_options.retention;
        m_part_count -= is_old ? item.waiting_parts.size() : 0;
        return is_old;
    });
}

void crash_attribution::drop_oldest_parts() {
    crash_suspect* oldest = nullptr;
    for (auto& [server, broken] : m_broken) {
        for (crash_suspect& suspect : broken) {
            const bool is_older = oldest == nullptr || suspect.broken_at < oldest->broken_at;
            if (!suspect.waiting_parts.empty() && is_older) {
                oldest = &suspect;
            }
        }
    }
    m_part_count -= oldest->waiting_parts.size();
    oldest->waiting_parts = {};
}

} // namespace dragonflywell::policy
