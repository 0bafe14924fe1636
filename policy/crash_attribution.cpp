#include "policy/crash_attribution.hpp"

namespace dragonflywell::policy {

void crash_attribution::record_broken_exchange(request_fingerprint request, const backend_server_name& server,
                                               steady_time now) {
    std::vector<broken_exchange>& broken = m_broken[server];
    std::erase_if(broken, [&](const broken_exchange& item) { return now - item.at > m_options.retention; });
    if (broken.size() < m_options.max_per_server) {
        broken.push_back({.request = request, .at = now});
    }
}

std::vector<request_fingerprint> crash_attribution::take_crash_suspects(const backend_server_name& server,
                                                                        steady_time now) {
    std::vector<request_fingerprint> requests;
    const auto found = m_broken.find(server);
    if (found == m_broken.end()) {
        return requests;
    }
    for (const broken_exchange& item : found->second) {
        if (now - item.at <= m_options.retention) {
            requests.push_back(item.request);
        }
    }
    m_broken.erase(found);
    return requests;
}

} // namespace dragonflywell::policy
