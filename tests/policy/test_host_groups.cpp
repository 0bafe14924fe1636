#include <doctest/doctest.h>

#include <set>

#include "policy/host_groups.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;

namespace {

std::map<std::string, zone_name> make_hosts(std::size_t zones, std::size_t in_zone) {
    std::map<std::string, zone_name> hosts;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t host = 0; host < in_zone; ++host) {
            const std::string name = std::to_string(zone);
            hosts.emplace("host-" + name + "-" + std::to_string(host), zone_name(name));
        }
    }
    return hosts;
}

} // namespace

TEST_CASE("a small fleet is a single group over all zones") {
    host_groups groups("host-0-0", zone_name("0"), {.max_group_hosts = 24});
    groups.set_hosts(make_hosts(4, 6));
    CHECK(groups.is_whole_fleet());
    CHECK(groups.is_own_group_host("host-3-1", zone_name("3")));
    CHECK(groups.is_own_group_server(backend_server_name("any"), zone_name("2")));
}

TEST_CASE("in a larger fleet, the hosts of each zone form a group") {
    host_groups groups("host-0-0", zone_name("0"), {.max_group_hosts = 24});
    groups.set_hosts(make_hosts(5, 16));
    CHECK_FALSE(groups.is_whole_fleet());
    CHECK(groups.is_own_group_host("host-0-15", zone_name("0")));
    CHECK_FALSE(groups.is_own_group_host("host-1-0", zone_name("1")));
    CHECK(groups.is_own_group_server(backend_server_name("any"), zone_name("0")));
    CHECK_FALSE(groups.is_own_group_server(backend_server_name("any"), zone_name("1")));
}

TEST_CASE("a large zone is divided into groups of balanced size, and all hosts compute the same division") {
    const auto hosts = make_hosts(4, 100);
    std::map<std::string, std::set<std::string>> members;
    for (std::size_t own = 0; own < 100; ++own) {
        const std::string name = "host-0-" + std::to_string(own);
        host_groups groups(name, zone_name("0"), {.max_group_hosts = 24});
        groups.set_hosts(hosts);
        members[groups.get_name()].insert(name);
        for (const auto& [other, zone] : hosts) {
            if (groups.is_own_group_host(other, zone)) {
                host_groups others(other, zone, {.max_group_hosts = 24});
                others.set_hosts(hosts);
                CHECK(others.get_name() == groups.get_name());
                CHECK(others.is_own_group_server(backend_server_name("x"), zone) ==
                      groups.is_own_group_server(backend_server_name("x"), zone));
            }
        }
    }
    CHECK(members.size() == 5);
    for (const auto& [group, names] : members) {
        CHECK(names.size() >= 8);
        CHECK(names.size() <= 36);
    }
}
