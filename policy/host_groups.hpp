#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/identifiers.hpp"

namespace dragonflywell::policy {

struct host_groups_options {
    /// Approximate maximum number of hosts in a group. Each host sends its state to all hosts of its group several
    /// times a second.
    std::uint32_t max_group_hosts{24};
};

/// Divides a large fleet into groups of hosts of one availability zone. Each group owns a share of the zone's backend
/// servers. Hosts exchange their full state only within their group, so that the cost of the exchange does not grow
/// with the fleet. A small fleet is a single group over all zones. The division depends only on the listed hosts, so
/// that all hosts compute the same one. Not thread safe.
class host_groups {
public:
    host_groups(std::string own_host, zone_name own_zone, host_groups_options options)
        : m_own_host(std::move(own_host)), m_own_zone(std::move(own_zone)), m_options(options) {}

    /// Sets the hosts of the fleet. This host may be included or not.
    void set_hosts(const std::map<std::string, zone_name>& hosts);

    /// Returns whether the whole fleet is a single group.
    [[nodiscard]] bool is_whole_fleet() const noexcept { return m_is_whole_fleet; }
    /// Returns the number of groups in the fleet.
    [[nodiscard]] std::uint32_t count_groups() const noexcept { return m_all_groups; }
    /// Returns the name of this host's group.
    [[nodiscard]] std::string get_name() const;
    /// Returns whether a host belongs to this host's group.
    [[nodiscard]] bool is_own_group_host(const std::string& host, const zone_name& zone) const;
    /// Returns whether a backend server belongs to this host's group.
    [[nodiscard]] bool is_own_group_server(const backend_server_name& server, const zone_name& zone) const;

private:
    [[nodiscard]] std::uint32_t get_group(std::string_view name) const;
    [[nodiscard]] std::uint32_t count_groups_of(std::size_t hosts) const;

    std::string m_own_host;
    zone_name m_own_zone;
    host_groups_options m_options;
    bool m_is_whole_fleet{true};
    /// Number of groups in this host's zone.
    std::uint32_t m_groups{1};
    /// Number of groups in all zones.
    std::uint32_t m_all_groups{1};
};

} // namespace dragonflywell::policy
