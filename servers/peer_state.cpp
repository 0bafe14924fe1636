#include "servers/peer_state.hpp"

#include <algorithm>

namespace dragonflywell::servers {

namespace {

/// How long the load of another group stays valid.
constexpr duration remote_load_lifetime = std::chrono::milliseconds(2500);

} // namespace

void peer_state::merge_group_digest(const host_digest& digest) {
    m_in_flight[digest.host] = digest.instances;
    std::map<backend_server_name, steady_time>& ejections = m_ejections[digest.host];
    ejections.clear();
    for (const auto& [server, left] : digest.ejections) {
        ejections.emplace(server, m_time->now() + left);
    }
    merge_transitions(digest);
    add_demand(digest, m_group_demand);
    for (const auto& [window, counts] : digest.usage) {
        m_usage[{digest.host, digest.incarnation}][window] = counts;
    }
}

void peer_state::merge_intergroup_digest(const host_digest& digest) {
    merge_transitions(digest);
    if (digest.loads.empty()) {
        return;
    }
    add_demand(digest, m_remote_demand);
    const steady_time now = m_time->now();
    for (const auto& [service, load] : digest.loads) {
        // Each group has one leader at a time. The name of the group is the key, whichever host leads it.
        m_remote_groups[service][digest.group] = {.zone = digest.zone, .load = load, .received_at = now};
    }
}

void peer_state::remove_host(const std::string& host) {
    m_in_flight.erase(host);
    m_ejections.erase(host);
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
    for (const auto& [host, reported] : m_transitions) {
        const auto found = reported.engines.find(engine);
        if (found != reported.engines.end() && now < found->second.until) {
            return found->second.stage;
        }
    }
    return std::nullopt;
}

std::uint32_t peer_state::count_ejecting_hosts(const backend_server_name& server) const {
    const steady_time now = m_time->now();
    return static_cast<std::uint32_t>(std::count_if(m_ejections.begin(), m_ejections.end(), [&](const auto& item) {
        const auto ejection = item.second.find(server);
        return ejection != item.second.end() && now < ejection->second;
    }));
}

duration peer_state::get_group_prefill_demand(const service_name& service) const {
    const auto found = m_group_demand.find(service);
    return found == m_group_demand.end() ? duration::zero() : found->second;
}

duration peer_state::get_remote_prefill_demand(const service_name& service) const {
    const auto found = m_remote_demand.find(service);
    return found == m_remote_demand.end() ? duration::zero() : found->second;
}

double peer_state::get_remote_running(const service_name& service) const {
    double running = 0;
    for (const auto& [name, group] : get_remote_groups(service)) {
        running += group.load.running;
    }
    return running;
}

std::map<std::string, peer_state::remote_group> peer_state::get_remote_groups(const service_name& service) const {
    std::map<std::string, remote_group> recent_groups;
    const auto found = m_remote_groups.find(service);
    if (found == m_remote_groups.end()) {
        return recent_groups;
    }
    const steady_time now = m_time->now();
    for (const auto& [name, group] : found->second) {
        if (now - group.received_at < remote_load_lifetime) {
            recent_groups.emplace(name, group);
        }
    }
    return recent_groups;
}

void peer_state::discard_usage_before(std::int64_t window) {
    for (auto& [owner, windows] : m_usage) {
        windows.erase(windows.begin(), windows.lower_bound(window));
    }
    std::erase_if(m_usage, [](const auto& item) { return item.second.empty(); });
}

void peer_state::merge_transitions(const host_digest& digest) {
    const steady_time now = m_time->now();
    reported_transitions& reported = m_transitions[digest.host];
    if (reported.incarnation == digest.incarnation) {
        reported.engines.clear();
    }
    // A restarted host does not know the orders of its earlier incarnation, but engines still carry them out.
    std::erase_if(reported.engines, [now](const auto& item) { return now >= item.second.until; });
    reported.incarnation = digest.incarnation;
    for (const auto& [engine, transition] : digest.transitions) {
        reported.engines.insert_or_assign(
            engine, stage_transition{.stage = transition.stage, .until = now + transition.remaining});
    }
}

void peer_state::add_demand(const host_digest& digest, service_costs& total) {
    reported_demand& reported = m_reported_demand[digest.host];
    if (reported.incarnation == digest.incarnation) {
        for (const auto& [service, sum] : digest.prefill_demand) {
            total[service] += std::max(duration::zero(), sum - reported.sums[service]);
        }
    }
    reported = {.incarnation = digest.incarnation, .sums = digest.prefill_demand};
}

} // namespace dragonflywell::servers
