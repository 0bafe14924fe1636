#pragma once

#include <map>
#include <vector>

#include "daemon/configuration_follower.hpp"
#include "daemon/group_usage_recorder.hpp"
#include "daemon/lease_keeper.hpp"
#include "daemon/server_list_follower.hpp"
#include "servers/host_digest.hpp"
#include "servers/serving_state.hpp"
#include "servers/shared_prefixes.hpp"

namespace dragonflywell::daemon {

/// Determines which parts a digest contains.
struct digest_scope {
    /// The sender leads its group: it reads the store for it and reports on it to remote groups.
    bool is_group_leader{false};
    /// The store does not answer the sender.
    bool is_cut_off{false};
    /// The digest is a heartbeat, which also carries the parts that are sent less often.
    bool is_heartbeat{false};
};

/// Builds the digests that a host sends to the others. Not thread safe.
class digest_builder {
public:
    /// Preconditions: all references outlive the builder.
    digest_builder(servers::serving_state& state, const configuration_follower& configuration,
                   const server_list_follower& servers, const lease_keeper& lease, const group_usage_recorder& usage,
                   servers::host_incarnation own, zone_name zone);

    /// Returns the digest for the hosts of the group. Clears the prefix accesses that have accumulated.
    [[nodiscard]] servers::host_digest make_group_digest(const digest_scope& scope);
    /// Returns the digest for the hosts of remote groups. That of a group leader clears the shared prefixes that are
    /// due.
    [[nodiscard]] servers::host_digest make_intergroup_digest(const digest_scope& scope);

    /// Accumulates, for remote groups, the prefix accesses of this group's engines.
    void share_prompts(const std::vector<servers::digest_prefix_access>& prefix_accesses);
    /// Returns whether the stage transitions that this host has ordered have changed since the last call.
    [[nodiscard]] bool has_new_transitions();

private:
    [[nodiscard]] servers::host_digest make_header(const digest_scope& scope);
    void add_usage(servers::host_digest& digest) const;
    void add_engines(servers::host_digest& digest) const;
    void add_summaries(servers::host_digest& digest) const;

    servers::serving_state* m_state;
    const configuration_follower* m_configuration;
    const server_list_follower* m_servers;
    const lease_keeper* m_lease;
    const group_usage_recorder* m_group_usage;
    servers::host_incarnation m_own;
    zone_name m_zone;
    std::uint64_t m_sequence{0};
    std::map<backend_server_name, fleet::engine_stage> m_last_transitions;
    /// Prefixes in the caches of this group's engines that are to be announced to remote groups.
    servers::shared_prefixes m_shared_prefixes;
};

} // namespace dragonflywell::daemon
