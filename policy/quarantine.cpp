#include "policy/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace dragonflywell::policy {

void quarantine::record_crash(const engine_crash& death) {
    const std::scoped_lock lock(m_mutex);
    m_deaths[death.fingerprint].try_emplace(death.crash_id, death.moment);
    if (m_deaths.size() > m_options.max_requests) {
        forget_oldest();
    }
}

void quarantine::record_completion(request_fingerprint fingerprint) {
    const std::scoped_lock lock(m_mutex);
    m_deaths.erase(fingerprint);
}

bool quarantine::is_empty() const {
    const std::scoped_lock lock(m_mutex);
    return m_deaths.empty();
}

bool quarantine::is_suspect(request_fingerprint fingerprint, wall_time now) const {
    return count_deaths(fingerprint, now) > 0;
}

bool quarantine::is_refused(request_fingerprint fingerprint, wall_time now) const {
    return count_deaths(fingerprint, now) >= m_options.crashes_to_refuse;
}

std::vector<engine_crash> quarantine::get_crashes(wall_time now) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<engine_crash> deaths;
    for (const auto& [fingerprint, moments] : m_deaths) {
        for (const auto& [crash_id, moment] : moments) {
            if (now - moment < m_options.retention) {
                deaths.push_back({.fingerprint = fingerprint, .crash_id = crash_id, .moment = moment});
            }
        }
    }
    return deaths;
}

std::vector<engine_crash> quarantine::get_newest_crashes(wall_time now, duration age, std::size_t most) const {
    std::vector<engine_crash> deaths = get_crashes(now);
    std::erase_if(deaths, [&](const engine_crash& death) { return now - death.moment > age; });
    std::sort(deaths.begin(), deaths.end(),
              [](const engine_crash& left, const engine_crash& right) { return left.moment > right.moment; });
    if (deaths.size() > most) {
        deaths.resize(most);
    }
    return deaths;
}

std::set<backend_server_name> quarantine::get_reserved() const {
    const std::scoped_lock lock(m_mutex);
    return {m_reserved.begin(), m_reserved.end()};
}

std::size_t quarantine::count_deaths(request_fingerprint fingerprint, wall_time now) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_deaths.find(fingerprint);
    if (found == m_deaths.end()) {
        return 0;
    }
    const auto is_held = [&](const auto& death) { return now - death.second < m_options.retention; };
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), is_held));
}

void quarantine::forget_oldest() {
    const auto get_newest = [](const death_map& deaths) {
        wall_time newest = wall_time::min();
        for (const auto& [crash_id, moment] : deaths) {
            newest = std::max(newest, moment);
        }
        return newest;
    };
    const auto is_older = [&](const auto& left, const auto& right) {
        return get_newest(left.second) < get_newest(right.second);
    };
    m_deaths.erase(std::min_element(m_deaths.begin(), m_deaths.end(), is_older));
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
