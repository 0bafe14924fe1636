#include "policy/crash_attribution.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace dragonflywell::policy {

template <typename IsRemoved>
void crash_attribution::remove(server_map::iterator server, IsRemoved is_removed) {
    std::erase_if(server->second.unanswered, [&](const crash_suspect& item) {
        const bool is_gone = is_removed(item);
        if (is_gone) {
            forget_details(item, server->first);
        }
        return is_gone;
    });
}

void crash_attribution::record_unanswered(crash_suspect suspect, const backend_server_name& server) {
    const auto position = m_servers.try_emplace(server).first;
    server_history& history = position->second;
    remove_old(position, suspect.ended_at);
    m_part_count += suspect.waiting_parts.size();
    ++m_servers_by_request[suspect.request][server];
    history.unanswered.push_back(std::move(suspect));
    if (history.unanswered.size() > m_options.max_per_server) {
        drop_least_likely(position);
    }
    while (m_part_count > m_options.max_parts) {
        drop_oldest_parts();
    }
}

void crash_attribution::record_answer(const backend_server_name& server, steady_time sent_at, steady_time now) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return;
    }
    found->second.answered_at = std::max(found->second.answered_at, now);
    remove(found, [&](const crash_suspect& item) { return item.ended_at + m_options.late_start < sent_at; });
    remove_old(found, now);
    erase_if_empty(found);
}

void crash_attribution::forget(request_fingerprint request) {
    for (auto known = m_servers_by_request.find(request); known != m_servers_by_request.end();
         known = m_servers_by_request.find(request)) {
        const auto server = m_servers.find(known->second.begin()->first);
        remove(server, [&](const crash_suspect& item) { return item.request == request; });
        erase_if_empty(server);
    }
}

std::vector<crash_suspect> crash_attribution::take_crash_suspects(const backend_server_name& server, down_proof proof,
                                                                  std::vector<crash_suspect> running, steady_time now) {
    std::vector<crash_suspect> suspects = std::move(running);
    steady_time answered_at = steady_time::min();
    if (const auto found = m_servers.find(server); found != m_servers.end()) {
        remove_old(found, now);
        answered_at = found->second.answered_at;
        const auto counts = [&](const crash_suspect& item) { return proof == down_proof::ended || item.is_broken; };
        std::copy_if(found->second.unanswered.begin(), found->second.unanswered.end(), std::back_inserter(suspects),
                     counts);
        remove(found, [&](const crash_suspect& item) { return proof != down_proof::unreachable || counts(item); });
        erase_if_empty(found);
    }
    std::stable_sort(suspects.begin(), suspects.end(), [&](const crash_suspect& left, const crash_suspect& right) {
        return is_likelier(left, right, answered_at);
    });
    return suspects;
}

bool crash_attribution::is_likelier(const crash_suspect& left, const crash_suspect& right,
                                    steady_time answered_at) noexcept {
    const auto get_rank = [&](const crash_suspect& item) {
        return std::make_tuple(item.ended_at < answered_at, item.sent_at);
    };
    return get_rank(left) < get_rank(right);
}

void crash_attribution::remove_old(server_map::iterator server, steady_time now) {
    remove(server, [&](const crash_suspect& item) { return now - item.ended_at > m_options.retention; });
}

void crash_attribution::forget_details(const crash_suspect& suspect, const backend_server_name& server) {
    m_part_count -= suspect.waiting_parts.size();
    const auto servers = m_servers_by_request.find(suspect.request);
    const auto count = servers->second.find(server);
    if (--count->second == 0) {
        servers->second.erase(count);
    }
    if (servers->second.empty()) {
        m_servers_by_request.erase(servers);
    }
}

void crash_attribution::drop_least_likely(server_map::iterator server) {
    std::vector<crash_suspect>& unanswered = server->second.unanswered;
    const auto least = std::max_element(unanswered.begin(), unanswered.end(),
                                        [&](const crash_suspect& left, const crash_suspect& right) {
                                            return is_likelier(left, right, server->second.answered_at);
                                        });
    forget_details(*least, server->first);
    unanswered.erase(least);
}

void crash_attribution::erase_if_empty(server_map::iterator server) {
    if (server->second.unanswered.empty()) {
        m_servers.erase(server);
    }
}

void crash_attribution::drop_oldest_parts() {
    crash_suspect* oldest = nullptr;
    for (auto& [server, history] : m_servers) {
        for (crash_suspect& suspect : history.unanswered) {
            const bool is_older = oldest == nullptr || suspect.ended_at < oldest->ended_at;
            if (!suspect.waiting_parts.empty() && is_older) {
                oldest = &suspect;
            }
        }
    }
    m_part_count -= oldest->waiting_parts.size();
    oldest->waiting_parts = {};
}

} // namespace dragonflywell::policy
