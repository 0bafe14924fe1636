#include "policy/crash_attribution.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflywell::policy {

template <typename IsRemoved>
void crash_attribution::remove(std::vector<crash_suspect>& unanswered, IsRemoved is_removed) {
    std::erase_if(unanswered, [&](const crash_suspect& item) {
        const bool is_gone = is_removed(item);
        m_part_count -= is_gone ? item.waiting_parts.size() : 0;
        return is_gone;
    });
}

void crash_attribution::record_unanswered(crash_suspect suspect, const backend_server_name& server) {
    server_history& history = m_servers[server];
    remove_old(history.unanswered, suspect.ended_at);
    m_part_count += suspect.waiting_parts.size();
    history.unanswered.push_back(std::move(suspect));
    if (history.unanswered.size() > m_options.max_per_server) {
        drop_least_likely(history);
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
    server_history& history = found->second;
    history.answered_at = std::max(history.answered_at, now);
    remove(history.unanswered,
           [&](const crash_suspect& item) { return item.ended_at + m_options.late_start < sent_at; });
    remove_old(history.unanswered, now);
    if (history.unanswered.empty()) {
        m_servers.erase(found);
    }
}

void crash_attribution::forget(request_fingerprint request, const backend_server_name& server) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return;
    }
    remove(found->second.unanswered, [&](const crash_suspect& item) { return item.request == request; });
    if (found->second.unanswered.empty()) {
        m_servers.erase(found);
    }
}

std::vector<crash_suspect> crash_attribution::take_crash_suspects(const backend_server_name& server, down_proof proof,
                                                                  std::vector<crash_suspect> running, steady_time now) {
    std::vector<crash_suspect> suspects = std::move(running);
    steady_time answered_at = steady_time::min();
    if (const auto found = m_servers.find(server); found != m_servers.end()) {
        std::vector<crash_suspect>& unanswered = found->second.unanswered;
        remove_old(unanswered, now);
        answered_at = found->second.answered_at;
        const auto taken = std::stable_partition(unanswered.begin(), unanswered.end(), [&](const crash_suspect& item) {
            return proof != down_proof::ended && !item.is_broken;
        });
        suspects.insert(suspects.end(), taken, unanswered.end());
        remove(unanswered,
               [&](const crash_suspect& item) { return proof != down_proof::unreachable || item.is_broken; });
        if (unanswered.empty()) {
            m_servers.erase(found);
        }
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

void crash_attribution::remove_old(std::vector<crash_suspect>& unanswered, steady_time now) {
    remove(unanswered, [&](const crash_suspect& item) { return now - item.ended_at > m_options.retention; });
}

void crash_attribution::drop_least_likely(server_history& history) {
    std::vector<crash_suspect>& unanswered = history.unanswered;
    const auto least = std::max_element(unanswered.begin(), unanswered.end(),
                                        [&](const crash_suspect& left, const crash_suspect& right) {
                                            return is_likelier(left, right, history.answered_at);
                                        });
    m_part_count -= least->waiting_parts.size();
    unanswered.erase(least);
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
