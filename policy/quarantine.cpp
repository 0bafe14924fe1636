#include "policy/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace dragonflywell::policy {

bool quarantine::record_crash(const engine_crash& crash) {
    const std::scoped_lock lock(m_mutex);
    const auto cleared = m_cleared.find(crash.fingerprint);
    if (cleared != m_cleared.end() && crash.moment <= cleared->second) {
        return false;
    }
    const auto [position, is_new_suspect] = m_suspects.try_emplace(crash.fingerprint);
    suspect& item = position->second;
    if (!is_new_suspect) {
        m_eviction_order.erase(get_eviction_key(crash.fingerprint, item));
    }
    const bool is_new = item.crashes.try_emplace(crash.crash_id, crash.moment).second;
    item.newest = std::max(item.newest, crash.moment);
    m_eviction_order.insert(get_eviction_key(crash.fingerprint, item));
    if (m_suspects.size() > m_options.max_requests) {
        erase(m_suspects.find(std::get<request_fingerprint>(*m_eviction_order.begin())));
    }
    return is_new;
}

void quarantine::record_completion(request_fingerprint fingerprint, wall_time now) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        erase(found);
    }
    remember_clearance(fingerprint, now);
}

void quarantine::remember_clearance(request_fingerprint fingerprint, wall_time now) {
    const auto [position, is_new] = m_cleared.try_emplace(fingerprint, now);
    if (!is_new) {
        m_cleared_by_time.erase({position->second, fingerprint});
        position->second = now;
    }
    m_cleared_by_time.emplace(now, fingerprint);
    if (m_cleared.size() > m_options.max_cleared) {
        m_cleared.erase(m_cleared_by_time.begin()->second);
        m_cleared_by_time.erase(m_cleared_by_time.begin());
    }
}

void quarantine::erase(std::map<request_fingerprint, suspect>::iterator position) {
    m_eviction_order.erase(get_eviction_key(position->first, position->second));
    m_suspects.erase(position);
}

bool quarantine::is_empty() const {
    const std::scoped_lock lock(m_mutex);
    return m_suspects.empty();
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
    for (const auto& [fingerprint, item] : m_suspects) {
        for (const auto& [crash_id, moment] : item.crashes) {
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
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
        return 0;
    }
    const auto is_held = [&](const auto& crash) { return now - crash.second < m_options.retention; };
    return static_cast<std::size_t>(std::count_if(found->second.crashes.begin(), found->second.crashes.end(), is_held));
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
