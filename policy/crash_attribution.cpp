#include "policy/crash_attribution.hpp"

#include <utility>

namespace dragonflywell::policy {

void crash_attribution::record_broken_exchange(crash_suspect suspect, const backend_server_name& server) {
    std::vector<crash_suspect>& broken = m_broken[server];
    const steady_time now = suspect.broken_at;
    std::erase_if(broken, [&](const crash_suspect& item) { return now - item.broken_at > m_options.retention; });
    if (broken.size() < m_options.max_per_server) {
        broken.push_back(std::move(suspect));
    }
}

std::vector<crash_suspect> crash_attribution::take_crash_suspects(const backend_server_name& server, steady_time now) {
    const auto found = m_broken.find(server);
    if (found == m_broken.end()) {
        return {};
    }
    std::vector<crash_suspect> suspects = std::move(found->second);
    m_broken.erase(found);
    std::erase_if(suspects, [&](const crash_suspect& item) { return now - item.broken_at > m_options.retention; });
    return suspects;
}

} // namespace dragonflywell::policy
