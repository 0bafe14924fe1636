#include "servers/peer_state.hpp"

#include <algorithm>

namespace dragonflywell::servers {

namespace {

/// How long what a speaker has told of its group counts.
constexpr duration far_memory = std::chrono::milliseconds(2500);

} // namespace

void peer_state::merge_group_digest(const host_digest& digest) {
    m_in_flight[digest.host] = digest.instances;
    std::map<backend_server_name, steady_time>& pauses = m_pauses[digest.host];
    pauses.clear();
    for (const auto& [server, left] : digest.ejections) {
        pauses.emplace(server, m_time->now() + left);
    }
    take_transitions(digest);
    add_demand(digest, m_near_demand);
    for (const auto& [window, counts] : digest.usage) {
        m_usage[{digest.host, digest.incarnation}][window] = counts;
    }
}

void peer_state::merge_intergroup_digest(const host_digest& digest) {
    take_transitions(digest);
    if (digest.summaries.empty()) {
        return;
    }
    add_demand(digest, m_far_demand);
    const steady_time now = m_time->now();
    for (const auto& [service, summary] : digest.summaries) {
        // One speaker a group: its zone and number name the group, whoever speaks for it.
        m_far_groups[service][digest.group] = {.zone = digest.zone, .summary = summary, .received_at = now};
    }
}

void peer_state::remove_host(const std::string& host) {
    m_in_flight.erase(host);
    m_pauses.erase(host);
}

std::uint32_t peer_state::get_in_flight(const backend_server_name& server) const {
    std::uint32_t count = 0;
    for (const auto& [host, counts] : m_in_flight) {
        if (const auto found = counts.find(server); found != counts.end()) {
            count += found->second;
        }
    }
    return count;
}

std::optional<fleet::engine_stage> peer_state::get_transition(const backend_server_name& engine) const {
    const steady_time now = m_time->now();
    for (const auto& [host, told] : m_transitions) {
        const auto found = told.engines.find(engine);
        if (found != told.engines.end() && now < found->second.until) {
            return found->second.stage;
        }
    }
    return std::nullopt;
}

std::uint32_t peer_state::count_ejecting_hosts(const backend_server_name& server) const {
    const steady_time now = m_time->now();
    return static_cast<std::uint32_t>(std::count_if(m_pauses.begin(), m_pauses.end(), [&](const auto& item) {
        const auto pause = item.second.find(server);
        return pause != item.second.end() && now < pause->second;
    }));
}

duration peer_state::get_group_prefill_demand(const service_name& service) const {
    const auto found = m_near_demand.find(service);
    return found == m_near_demand.end() ? duration::zero() : found->second;
}

duration peer_state::get_remote_prefill_demand(const service_name& service) const {
    const auto found = m_far_demand.find(service);
    return found == m_far_demand.end() ? duration::zero() : found->second;
}

double peer_state::get_remote_running(const service_name& service) const {
    double running = 0;
    for (const auto& [name, group] : get_remote_groups(service)) {
        running += group.summary.running;
    }
    return running;
}

std::map<std::string, peer_state::remote_group> peer_state::get_remote_groups(const service_name& service) const {
    std::map<std::string, remote_group> groups_heard;
    const auto found = m_far_groups.find(service);
    if (found == m_far_groups.end()) {
        return groups_heard;
    }
    const steady_time now = m_time->now();
    for (const auto& [name, group] : found->second) {
        if (now - group.received_at < far_memory) {
            groups_heard.emplace(name, group);
        }
    }
    return groups_heard;
}

void peer_state::discard_usage_before(std::int64_t window) {
    for (auto& [owner, windows] : m_usage) {
        windows.erase(windows.begin(), windows.lower_bound(window));
    }
    std::erase_if(m_usage, [](const auto& item) { return item.second.empty(); });
}

void peer_state::take_transitions(const host_digest& digest) {
    const steady_time now = m_time->now();
    told_transitions& told = m_transitions[digest.host];
    if (told.incarnation == digest.incarnation) {
        told.engines.clear();
    }
    // A host that has started anew knows nothing of the orders of its earlier life; they are carried out all the same.
    std::erase_if(told.engines, [now](const auto& item) { return now >= item.second.until; });
    told.incarnation = digest.incarnation;
    for (const auto& [engine, transition] : digest.transitions) {
        told.engines.insert_or_assign(engine,
                                      stage_transition{.stage = transition.stage, .until = now + transition.remaining});
    }
}

void peer_state::add_demand(const host_digest& digest, service_costs& total) {
    told_demand& told = m_told_demand[digest.host];
    if (told.incarnation == digest.incarnation) {
        for (const auto& [service, sum] : digest.prefill_demand) {
            total[service] += std::max(duration::zero(), sum - told.sums[service]);
        }
    }
    told = {.incarnation = digest.incarnation, .sums = digest.prefill_demand};
}

} // namespace dragonflywell::servers
