#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "core/clock.hpp"
#include "servers/server_speed_digest.hpp"

namespace dragonflywell::servers {

class serving_state;

/// Chooses the sums for the next digest: a bounded number of servers, in turn. Not thread safe.
class speed_announcer {
public:
    /// Largest number of servers in a digest. An entry has about 45 bytes, so that a digest twice a second to 20 hosts
    /// takes 60 kB a second of the 250 that a link of 10 Mbit/s leaves for all datagrams.
    static constexpr std::size_t max_servers = 32;

    [[nodiscard]] digest_speeds take(serving_state& state);

private:
    backend_server_name m_last;
};

/// Calls `use` with each estimator of the state.
void for_each_speed_estimator(serving_state& state, const std::function<void(policy::server_speed_estimator&)>& use);
/// Returns the estimator for a listed server, or null.
[[nodiscard]] policy::server_speed_estimator* find_speed_estimator(serving_state& state,
                                                                   const backend_server_name& server);

/// Merges the sums of another host of the group. `delay`: how long the digest was on the way.
void merge_speeds(serving_state& state, const std::string& host, const digest_speeds& speeds, duration delay);

} // namespace dragonflywell::servers
