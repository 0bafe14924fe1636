#pragma once

#include <map>
#include <vector>

#include "gossip/digest_source.hpp"
#include "servers/host_digest.hpp"
#include "servers/limit_announcer.hpp"
#include "servers/server_speed_sharing.hpp"
#include "servers/serving_state.hpp"
#include "servers/shared_prefixes.hpp"

namespace dragonflywell::gossip {

struct digest_builder_options {
    servers::host_incarnation own;
    zone_name zone;
    policy::host_capacity capacity;
};

/// Builds the digests that a host sends to the others. Not thread safe.
class digest_builder {
public:
    /// Preconditions: state and source outlive the builder.
    digest_builder(servers::serving_state& state, const digest_source& source, digest_builder_options options);

    /// Returns the digest for the hosts of the group. Clears the prefix accesses that have accumulated. `is_heartbeat`:
    /// it also carries the parts that are sent less often.
    [[nodiscard]] servers::host_digest make_group_digest(bool is_heartbeat);

    /// Returns the digest for the hosts of other groups. What does not fit into `max_bytes`, or into `min_digest_bytes`
    /// if that is more, waits for the next one: first prefixes, then crashes.
    [[nodiscard]] servers::host_digest make_intergroup_digest(std::size_t max_bytes);
    /// Brings the header and the loads of a digest to other groups up to date, before it is sent to more hosts.
    void refresh(servers::host_digest& digest);

    /// Accumulates, for other groups, the prefix accesses of this group's engines.
    void share_prompts(const std::vector<servers::digest_prefix_access>& prefix_accesses);
    /// Returns whether the stage transitions that this host has ordered have changed since the last call.
    [[nodiscard]] bool has_new_transitions();

    /// Size within which a digest to other groups always carries some crashes.
    static constexpr std::size_t min_digest_bytes = 1200;

private:
    void set_header(servers::host_digest& digest, const digest_facts& facts);
    void add_usage(servers::host_digest& digest) const;
    void add_engines(servers::host_digest& digest) const;
    void add_loads(servers::host_digest& digest) const;
    /// Adds the prefix accesses since the last digest; the newest ones if they are too many.
    void add_prefix_accesses(servers::host_digest& digest);
    /// Adds announcements of crashes for which there is room. Returns the room that is left, in bytes.
    std::size_t add_crashes(servers::host_digest& digest, servers::crash_announcements& from, std::size_t room);

    /// Adds what is known of the limits of servers to a digest to other groups. Returns the room that is left.
    std::size_t add_limits(servers::host_digest& digest, std::size_t room);
    /// Adds to the ages of limits the time since the digest was built.
    void age_limits(servers::host_digest& digest);

    servers::serving_state* m_state;
    const digest_source* m_source;
    digest_builder_options m_options;
    std::uint64_t m_sequence{0};
    std::map<backend_server_name, fleet::engine_stage> m_last_transitions;
    /// Prefixes in the caches of this group's engines that are to be announced to other groups.
    servers::shared_prefixes m_shared_prefixes;
    servers::speed_announcer m_speeds;
    servers::limit_announcer m_limits;
    /// Number of changes of limits that the last digest to the group contained.
    std::uint64_t m_sent_limit_changes{0};
    /// Moment of the ages of limits in the digest to other groups.
    steady_time m_limits_at{};
};

} // namespace dragonflywell::gossip
