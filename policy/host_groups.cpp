#include "policy/host_groups.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace dragonflywell::policy {

void host_groups::set_hosts(const std::map<std::string, zone_name>& hosts) {
    const std::size_t all = hosts.size() + (hosts.contains(m_own_host) ? 0 : 1);
    m_is_whole_fleet = all <= m_options.max_group_hosts;
    const auto in_zone = static_cast<std::uint32_t>(
        std::count_if(hosts.begin(), hosts.end(), [&](const auto& item) { return item.second == m_own_zone; }));
    m_groups = std::max<std::uint32_t>(1, (in_zone + m_options.max_group_hosts - 1) / m_options.max_group_hosts);
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
