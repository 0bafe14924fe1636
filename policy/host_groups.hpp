#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/identifiers.hpp"

namespace dragonflywell::policy {

struct host_groups_options {
    /// Hosts of a group at most, about; each tells all others of its group what it does several times a second.
    std::uint32_t max_group_hosts{24};
};

/// Divides a large fleet into groups of hosts of one zone, each with its part of the zone's backend servers. Hosts of a
/// group tell each other everything, so that their knowledge costs the same however large the fleet is. A small fleet
/// is one group over all zones. Pure function of the listed hosts; not thread safe.
class host_groups {
public:
    host_groups(std::string own_host, zone_name own_zone, host_groups_options options)
        : m_own_host(std::move(own_host)), m_own_zone(std::move(own_zone)), m_options(options) {}

    /// Takes the hosts of the fleet, this one included or not.
    void set_hosts(const std::map<std::string, zone_name>& hosts);

    /// Returns whether there is one group for the whole fleet.
    [[nodiscard]] bool is_whole_fleet() const noexcept { return m_is_whole_fleet; }
    /// Returns the name of this host's group.
    [[nodiscard]] std::string get_name() const;
    /// Returns whether a host is of this host's group.
    [[nodiscard]] bool is_own_group_host(const std::string& host, const zone_name& zone) const;
    /// Returns whether a backend server belongs to this host's group.
    [[nodiscard]] bool is_own_group_server(const backend_server_name& server, const zone_name& zone) const;

private:
    [[nodiscard]] std::uint32_t get_group(std::string_view name) const;

    std::string m_own_host;
    zone_name m_own_zone;
    host_groups_options m_options;
    bool m_is_whole_fleet{true};
    /// Groups of the own zone.
    std::uint32_t m_groups{1};
};

} // namespace dragonflywell::policy
