#include "policy/server_health.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

/// Weight of one exchange in the moving average of failures: about ten exchanges are effective.
constexpr double failure_weight = 0.1;
constexpr std::uint32_t max_doublings = 16;

} // namespace

std::uint32_t server_health::get_failures_to_eject(server_failure failure) const noexcept {
    switch (failure) {
    case server_failure::unreachable:
        return 1;
    case server_failure::refused:
        return m_options.refusals_to_eject;
    case server_failure::broken:
    case server_failure::answered_failure:
        break;
    }
    return m_options.failures_to_eject;
}

void server_health::add_success(const backend_server_name& server) {
    const auto found = m_states.find(server);
    if (found == m_states.end()) {
        return;
    }
    found->second.failures_in_row = 0;
    found->second.ejected_until = {};
    found->second.failure_share *= 1 - failure_weight;
}

void server_health::add_failure(const backend_server_name& server, server_failure failure, steady_time now) {
    state& health = m_states[server];
    if (failure != server_failure::refused) {
        health.failure_share += (1 - health.failure_share) * failure_weight;
    }
    if (failure == server_failure::answered_failure) {
        return;
    }
    ++health.failures_in_row;
    const std::uint32_t needed = get_failures_to_eject(failure);
    if (health.failures_in_row < needed) {
        return;
    }
    const std::uint32_t doublings = std::min(health.failures_in_row - needed, max_doublings);
    const duration ejection_time =
        std::min(m_options.initial_ejection_time * (1U << doublings), m_options.max_ejection_time);
    health.ejected_until = now + ejection_time;
}

bool server_health::is_usable(const backend_server_name& server, steady_time now) const {
    const auto found = m_states.find(server);
    return found == m_states.end() || now >= found->second.ejected_until;
}

bool server_health::has_failed_last(const backend_server_name& server) const {
    const auto found = m_states.find(server);
    return found != m_states.end() && found->second.failures_in_row > 0;
}

std::map<backend_server_name, duration> server_health::get_ejected(steady_time now) const {
    std::map<backend_server_name, duration> ejected;
    for (const auto& [server, health] : m_states) {
        if (now < health.ejected_until) {
            ejected.emplace(server, health.ejected_until - now);
        }
    }
    return ejected;
}

double server_health::get_failure_share(const backend_server_name& server) const {
    const auto found = m_states.find(server);
    return found == m_states.end() ? 0 : found->second.failure_share;
}

void server_health::forget(const backend_server_name& server) {
    m_states.erase(server);
}

} // namespace dragonflywell::policy
