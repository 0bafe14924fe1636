#include "policy/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace dragonflywell::policy {

bool quarantine::record_crash(const engine_crash& crash) {
    const std::scoped_lock lock(m_mutex);
    const bool is_new = m_crashes[crash.fingerprint].try_emplace(crash.crash_id, crash.moment).second;
    if (m_crashes.size() > m_options.max_requests) {
        evict_oldest();
    }
    return is_new;
}

void quarantine::record_completion(request_fingerprint fingerprint) {
    const std::scoped_lock lock(m_mutex);
    m_crashes.erase(fingerprint);
}

bool quarantine::is_empty() const {
    const std::scoped_lock lock(m_mutex);
    return m_crashes.empty();
}

bool quarantine::is_suspect(request_fingerprint fingerprint, wall_time now) const {
    return count_crashes(fingerprint, now) > 0;
}

bool quarantine::is_repeated(request_fingerprint fingerprint, wall_time now) const {
    return count_crashes(fingerprint, now) > 1;
}

bool quarantine::is_refused(request_fingerprint fingerprint, wall_time now) const {
    return count_crashes(fingerprint, now) >= m_options.crashes_to_refuse;
}

std::vector<engine_crash> quarantine::get_crashes(wall_time now) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<engine_crash> crashes;
    for (const auto& [fingerprint, moments] : m_crashes) {
        for (const auto& [crash_id, moment] : moments) {
            if (now - moment < m_options.retention) {
                crashes.push_back({.fingerprint = fingerprint, .crash_id = crash_id, .moment = moment});
            }
        }
    }
    return crashes;
}

std::vector<engine_crash> quarantine::get_refused_crashes(wall_time now, std::size_t most) const {
    std::vector<engine_crash> crashes = get_crashes(now);
    std::erase_if(crashes, [&](const engine_crash& crash) { return !is_refused(crash.fingerprint, now); });
    std::sort(crashes.begin(), crashes.end(),
              [](const engine_crash& left, const engine_crash& right) { return left.moment > right.moment; });
    if (crashes.size() > most) {
        crashes.resize(most);
    }
    return crashes;
}

std::set<backend_server_name> quarantine::get_reserved() const {
    const std::scoped_lock lock(m_mutex);
    return {m_reserved.begin(), m_reserved.end()};
}

std::size_t quarantine::count_crashes(request_fingerprint fingerprint, wall_time now) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_crashes.find(fingerprint);
    if (found == m_crashes.end()) {
        return 0;
    }
    const auto is_held = [&](const auto& crash) { return now - crash.second < m_options.retention; };
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), is_held));
}

void quarantine::evict_oldest() {
    const auto get_newest = [](const crash_map& crashes) {
        wall_time newest = wall_time::min();
        for (const auto& [crash_id, moment] : crashes) {
            newest = std::max(newest, moment);
        }
        return newest;
    };
    const auto is_older = [&](const auto& left, const auto& right) {
        return get_newest(left.second) < get_newest(right.second);
    };
    m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(), is_older));
}

quarantine::reservation::reservation(quarantine& owner, backend_server_name server)
    : m_owner(&owner), m_server(std::move(server)) {
    const std::scoped_lock lock(m_owner->m_mutex);
    m_owner->m_reserved.insert(m_server);
}

quarantine::reservation::~reservation() {
    const std::scoped_lock lock(m_owner->m_mutex);
    m_owner->m_reserved.erase(m_owner->m_reserved.find(m_server));
}

} // namespace dragonflywell::policy
