#include "policy/host_groups.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace dragonflywell::policy {

void host_groups::set_hosts(const std::map<std::string, zone_name>& hosts) {
    const std::size_t all = hosts.size() + (hosts.contains(m_own_host) ? 0 : 1);
    m_is_whole_fleet = all <= m_options.max_group_hosts;
    std::map<zone_name, std::size_t> zones{{m_own_zone, 0}};
    for (const auto& [host, zone] : hosts) {
        ++zones[zone];
    }
    m_groups = count_groups_of(zones[m_own_zone]);
    m_all_groups = 0;
    for (const auto& [zone, in_zone] : zones) {
        m_all_groups += count_groups_of(in_zone);
    }
    if (m_is_whole_fleet) {
        m_all_groups = 1;
    }
}

std::uint32_t host_groups::count_groups_of(std::size_t hosts) const {
    const std::size_t groups = (hosts + m_options.max_group_hosts - 1) / m_options.max_group_hosts;
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, groups));
}

std::string host_groups::get_name() const {
    return m_is_whole_fleet ? "all" : m_own_zone.value() + "/" + std::to_string(get_group(m_own_host));
}

bool host_groups::is_own_group_host(const std::string& host, const zone_name& zone) const {
    return m_is_whole_fleet || (zone == m_own_zone && get_group(host) == get_group(m_own_host));
}

bool host_groups::is_own_group_server(const backend_server_name& server, const zone_name& zone) const {
    return m_is_whole_fleet || (zone == m_own_zone && get_group(server.value()) == get_group(m_own_host));
}

std::uint32_t host_groups::get_group(std::string_view name) const {
    return static_cast<std::uint32_t>(get_stable_hash(name) % m_groups);
}

} // namespace dragonflywell::policy
