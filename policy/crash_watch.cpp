#include "policy/crash_watch.hpp"

namespace dragonflywell::policy {

void crash_watch::note_broken(request_fingerprint request, const backend_server_name& server, steady_time now) {
    std::vector<broken_exchange>& broken = m_broken[server];
    std::erase_if(broken, [&](const broken_exchange& item) { return now - item.at > m_options.memory; });
    if (broken.size() < m_options.most_per_server) {
        broken.push_back({.request = request, .at = now});
    }
}

std::vector<request_fingerprint> crash_watch::take_dead(const backend_server_name& server, steady_time now) {
    std::vector<request_fingerprint> requests;
    const auto found = m_broken.find(server);
    if (found == m_broken.end()) {
        return requests;
    }
    for (const broken_exchange& item : found->second) {
        if (now - item.at <= m_options.memory) {
            requests.push_back(item.request);
        }
    }
    m_broken.erase(found);
    return requests;
}

} // namespace dragonflywell::policy
