#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "fleet/server_record.hpp"
#include "policy/host_groups.hpp"
#include "policy/usage_counter.hpp"
#include "servers/host_digest.hpp"

namespace dragonflywell::servers {

/// Requests on instances of plain services.
using instance_counts = std::map<backend_server_name, std::uint32_t>;

/// A change of an engine's stage that is under way.
struct stage_transition {
    fleet::engine_stage stage{fleet::engine_stage::decode};
    /// When it counts as over whatever the list says.
    steady_time until{};
};
using stage_transitions = std::map<backend_server_name, stage_transition>;

/// What the other hosts have told: of their work, of what they have counted and ordered, and of groups that this host
/// is not in. What they have on engines is on the engines' boards. Not thread safe.
class peer_state {
public:
    /// Precondition: `time` outlives the knowledge.
    peer_state(const clock_source& time, policy::host_groups groups) : groups(std::move(groups)), m_time(&time) {}

    /// Takes what a host of this host's group has told.
    void merge_group_digest(const host_digest& digest);
    /// Takes what the speaker of another group has told of it.
    void merge_intergroup_digest(const host_digest& digest);
    /// Forgets the present work of a host that fell silent. What it has ordered goes on without it.
    void remove_host(const std::string& host);

    /// Returns the requests of other hosts on an instance.
    [[nodiscard]] std::uint32_t get_in_flight(const backend_server_name& server) const;
    /// Returns whether another host is changing the engine's stage, and to which.
    [[nodiscard]] std::optional<fleet::engine_stage> get_transition(const backend_server_name& engine) const;
    /// Returns how many other hosts of the group leave a server alone now, since it failed or refused there.
    [[nodiscard]] std::uint32_t count_ejecting_hosts(const backend_server_name& server) const;
    /// Returns the cost of the prompts that other hosts of the group, or hosts of other groups, have got since this
    /// host listens to them.
    [[nodiscard]] duration get_group_prefill_demand(const service_name& service) const;
    [[nodiscard]] duration get_remote_prefill_demand(const service_name& service) const;
    /// Returns the requests that run on engines of other groups.
    [[nodiscard]] double get_remote_running(const service_name& service) const;

    /// What is known of another group's engines for one service.
    struct remote_group {
        zone_name zone;
        group_summary summary;
        steady_time received_at{};
    };
    /// Returns the groups whose speakers were heard of late, by the name of the speaker's group.
    [[nodiscard]] std::map<std::string, remote_group> get_remote_groups(const service_name& service) const;

    /// What the lives of other hosts' processes have counted, as they told last, by host and incarnation.
    using received_usage =
        std::map<std::pair<std::string, std::uint64_t>, std::map<std::int64_t, policy::window_counts>>;
    [[nodiscard]] const received_usage& get_usage() const noexcept { return m_usage; }
    /// Forgets the counts of windows before this one.
    void discard_usage_before(std::int64_t window);

    policy::host_groups groups;

private:
    /// What a host had said last, to add what has come since.
    struct told_demand {
        std::uint64_t incarnation{};
        std::map<service_name, duration> sums;
    };

    /// What a life of a host has ordered.
    struct told_transitions {
        std::uint64_t incarnation{};
        stage_transitions engines;
    };

    using service_costs = std::map<service_name, duration>;

    void take_transitions(const host_digest& digest);
    void add_demand(const host_digest& digest, service_costs& total);

    const clock_source* m_time;
    std::map<std::string, instance_counts> m_in_flight;
    std::map<std::string, told_transitions> m_transitions;
    /// By host: until when it leaves a server alone.
    std::map<std::string, std::map<backend_server_name, steady_time>> m_pauses;
    std::map<std::string, told_demand> m_told_demand;
    service_costs m_near_demand;
    service_costs m_far_demand;
    received_usage m_usage;
    std::map<service_name, std::map<std::string, remote_group>> m_far_groups;
};

} // namespace dragonflywell::servers
