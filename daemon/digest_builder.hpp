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

/// What decides how much a digest tells.
struct digest_scope {
    /// The sender is the first host of its group: it reads and speaks for it.
    bool is_group_leader{false};
    /// It is the turn of what is told less often.
    bool is_heartbeat{false};
};

/// Puts together what a host tells the others of itself. Not thread safe.
class digest_builder {
public:
    /// Preconditions: all references outlive the writer.
    digest_builder(servers::serving_state& state, const configuration_follower& configuration,
                   const server_list_follower& servers, const lease_keeper& lease, const group_usage_recorder& usage,
                   servers::host_incarnation own, zone_name zone);

    /// Returns the digest for the hosts of the group. Takes the news of prompts that have gathered.
    [[nodiscard]] servers::host_digest make_group_digest(const digest_scope& occasion);
    /// Returns the digest for the hosts of other groups.
    [[nodiscard]] servers::host_digest make_intergroup_digest(const digest_scope& occasion);

    /// Gathers for other groups what the engines of this one are given.
    void share_prompts(const std::vector<servers::digest_prefix_access>& prefix_accesses);
    /// Returns whether engines that this host is changing are others than at the last question.
    [[nodiscard]] bool has_new_transitions();

private:
    [[nodiscard]] servers::host_digest make_head(const digest_scope& occasion);
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
    std::map<backend_server_name, fleet::engine_stage> m_told_transitions;
    /// What other groups are to be told of the prompts that this one's engines have.
    servers::shared_prefixes m_shared_prompts;
};

} // namespace dragonflywell::daemon
