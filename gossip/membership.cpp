#include "gossip/membership.hpp"

#include <algorithm>

namespace dragonflywell::gossip {

namespace {

/// A host that sends no digest for this long counts as unreachable, and its last known load is discarded.
constexpr duration host_timeout = std::chrono::milliseconds(2500);

} // namespace

membership::membership(std::string own_host, policy::host_groups& groups)
    : m_own_host(std::move(own_host)), m_groups(&groups) {}

void membership::add(const std::string& host, const zone_name& zone, const boost::asio::ip::udp::endpoint& address) {
    other_host& other = m_others[host];
    other.address = address;
    other.zone = zone;
}

std::vector<std::string> membership::update_groups() {
    std::map<std::string, zone_name> zones;
    for (const auto& [name, other] : m_others) {
        zones.emplace(name, other.zone);
    }
    m_groups->set_hosts(zones);
    std::vector<std::string> remote;
    for (auto& [name, other] : m_others) {
        other.is_own_group = m_groups->is_own_group_host(name, other.zone);
        if (!other.is_own_group) {
            remote.push_back(name);
        }
    }
    return remote;
}

std::optional<membership::sender> membership::accept(const servers::host_digest& digest, wall_time corrected_now,
                                                     steady_time now) {
    const auto found = m_others.find(digest.host);
    if (found == m_others.end()) {
        return std::nullopt;
    }
    other_host& other = found->second;
    const bool is_older_incarnation = digest.incarnation < other.incarnation;
    const bool is_older = digest.incarnation == other.incarnation && digest.sequence <= other.sequence;
    if (is_older_incarnation || is_older) {
        return std::nullopt;
    }
    const bool is_newcomer = digest.incarnation > other.incarnation || !other.last_received_at;
    other.incarnation = digest.incarnation;
    other.sequence = digest.sequence;
    other.last_received_at = now;
    other.timed_out_at.reset();
    other.clock_offset = digest.corrected_time - corrected_now;
    other.is_stopping = digest.is_stopping;
    other.is_cut_off = digest.is_cut_off;
    other.capacity = digest.capacity;
    return sender{.is_own_group = other.is_own_group,
                  .is_newcomer = is_newcomer,
                  .delay = other.transit.observe(other.clock_offset, now)};
}

duration membership::measure_delay(const std::string& host, wall_time sent_at, wall_time corrected_now,
                                   steady_time now) {
    const auto found = m_others.find(host);
    return found == m_others.end() ? duration::zero() : found->second.transit.observe(sent_at - corrected_now, now);
}

std::vector<membership::lost_host> membership::take_lost(steady_time now) {
    std::vector<lost_host> lost;
    for (auto& [name, other] : m_others) {
        if (!other.last_received_at || now - *other.last_received_at <= host_timeout) {
            continue;
        }
        other.last_received_at.reset();
        other.timed_out_at = now;
        lost.push_back({.name = name, .is_own_group = other.is_own_group});
    }
    return lost;
}

std::vector<std::string> membership::take_dead(steady_time now, duration delay) {
    std::vector<std::string> dead;
    for (auto& [name, other] : m_others) {
        if (other.is_own_group && other.timed_out_at && now - *other.timed_out_at > delay) {
            other.timed_out_at.reset();
            dead.push_back(name);
        }
    }
    return dead;
}

bool membership::leads_group(const policy::leader_candidate& own, std::string_view without) const {
    std::vector<policy::leader_candidate> others;
    for (const auto& [name, other] : m_others) {
        if (other.is_own_group && other.last_received_at && name != without) {
            others.push_back({.host = name,
                              .capacity = other.capacity,
                              .is_stopping = other.is_stopping,
                              .is_cut_off = other.is_cut_off});
        }
    }
    return policy::leads_group(own, others);
}

std::string_view membership::get_absence(const other_host& other) {
    if (!other.last_received_at) {
        return "silent";
    }
    if (other.is_stopping) {
        return "stopping";
    }
    return other.is_cut_off ? "cut_off" : "present";
}

void membership::describe_absent(log_event& line) const {
    for (const auto& [name, other] : m_others) {
        if (other.is_own_group && name < m_own_host) {
            line.add(name, get_absence(other));
        }
    }
}

std::size_t membership::count_reachable() const {
    return static_cast<std::size_t>(std::count_if(
        m_others.begin(), m_others.end(), [](const auto& item) { return item.second.last_received_at.has_value(); }));
}

bool membership::has_remote_groups() const {
    return std::any_of(m_others.begin(), m_others.end(), [](const auto& item) { return !item.second.is_own_group; });
}

std::optional<boost::asio::ip::udp::endpoint> membership::find_address(const std::string& host) const {
    const auto found = m_others.find(host);
    return found == m_others.end() ? std::nullopt : std::optional(found->second.address);
}

datagram_receivers membership::get_receivers(bool is_own_group) const {
    datagram_receivers receivers;
    for (const auto& [name, other] : m_others) {
        if (other.is_own_group == is_own_group) {
            receivers.push_back(other.address);
        }
    }
    return receivers;
}

std::vector<duration> membership::get_clock_offsets() const {
    std::vector<duration> offsets;
    for (const auto& [name, other] : m_others) {
        if (other.last_received_at) {
            offsets.push_back(other.clock_offset);
        }
    }
    return offsets;
}

void membership::on_clock_corrected(duration by) {
    for (auto& [name, other] : m_others) {
        other.clock_offset -= by;
        other.transit = {};
    }
}

} // namespace dragonflywell::gossip
