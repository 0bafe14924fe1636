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

/// Number of in-flight requests on each instance of a plain service.
using instance_counts = std::map<backend_server_name, std::uint32_t>;

/// A stage change of an engine that is under way.
struct stage_transition {
    fleet::engine_stage stage{fleet::engine_stage::decode};
    /// When the change expires, even if the list does not show the new stage.
    steady_time until{};
};
using stage_transitions = std::map<backend_server_name, stage_transition>;

/// State of the other hosts, merged from their digests: their load, the usage they have counted, the stage changes they
/// have ordered, and loads of the groups that this host is not in. Their load on engines is kept by the engine load
/// trackers. Not thread safe.
class peer_state {
public:
    /// Precondition: `time` outlives this object.
    peer_state(const clock_source& time, policy::host_groups groups) : groups(std::move(groups)), m_time(&time) {}

    /// Merges the digest of a host in the group of this host.
    void merge_group_digest(const host_digest& digest);
    /// Merges the digest of the leader of another group.
    void merge_intergroup_digest(const host_digest& digest);
    /// Removes the current load of an unresponsive host. The stage changes that it has ordered stay, since they
    /// continue without it.
    void remove_host(const std::string& host);

    /// Returns the number of in-flight requests of other hosts on an instance.
    [[nodiscard]] std::uint32_t get_in_flight(const backend_server_name& server) const;
    /// Returns the stage that another host is changing the engine to, or nothing.
    [[nodiscard]] std::optional<fleet::engine_stage> get_transition(const backend_server_name& engine) const;
    /// Returns how many other hosts of the group have ejected a server now after it failed or refused.
    [[nodiscard]] std::uint32_t count_ejecting_hosts(const backend_server_name& server) const;
    /// Returns the total prefill time of the prompts that other hosts of the group, or hosts of other groups, have
    /// received since their first digest arrived here.
    [[nodiscard]] duration get_group_prefill_demand(const service_name& service) const;
    [[nodiscard]] duration get_remote_prefill_demand(const service_name& service) const;
    /// Returns the number of requests that run on engines of other groups.
    [[nodiscard]] double get_remote_running(const service_name& service) const;

    /// State of the engines of another group for one service.
    struct remote_group {
        zone_name zone;
        policy::group_load load;
        steady_time received_at{};
    };
    /// Returns the groups whose leaders have recently sent a digest, by the name of the group.
    [[nodiscard]] std::map<std::string, remote_group> get_remote_groups(const service_name& service) const;

    /// Usage that the processes of other hosts have last reported, by host and incarnation.
    using received_usage =
        std::map<std::pair<std::string, std::uint64_t>, std::map<std::int64_t, policy::window_counts>>;
    [[nodiscard]] const received_usage& get_usage() const noexcept { return m_usage; }
    /// Discards the counts of windows before the given one.
    void discard_usage_before(std::int64_t window);

    policy::host_groups groups;

private:
    /// The last totals that a host has reported, used to add only the increase.
    struct reported_demand {
        std::uint64_t incarnation{};
        std::map<service_name, duration> sums;
    };

    /// Stage changes that an incarnation of a host has ordered.
    struct reported_transitions {
        std::uint64_t incarnation{};
        stage_transitions engines;
    };

    using service_costs = std::map<service_name, duration>;

    void merge_transitions(const host_digest& digest);
    void add_demand(const host_digest& digest, service_costs& total);

    const clock_source* m_time;
    std::map<std::string, instance_counts> m_in_flight;
    std::map<std::string, reported_transitions> m_transitions;
    /// By host: when its ejection of each server ends.
    std::map<std::string, std::map<backend_server_name, steady_time>> m_ejections;
    std::map<std::string, reported_demand> m_reported_demand;
    service_costs m_group_demand;
    service_costs m_remote_demand;
    received_usage m_usage;
    std::map<service_name, std::map<std::string, remote_group>> m_remote_groups;
};

} // namespace dragonflywell::servers
