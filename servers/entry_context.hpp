#pragma once

#include <memory>
#include <random>
#include <string>

#include "coordination/claim_queue.hpp"
#include "coordination/usage.hpp"
#include "core/clock.hpp"
#include "core/rcu_cell.hpp"
#include "fleet/manifest.hpp"
#include "policy/cut_off_state.hpp"
#include "policy/placement.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_budget.hpp"
#include "servers/admission_controller.hpp"
#include "servers/backend_connection_pool.hpp"
#include "servers/backend_index.hpp"
#include "servers/backend_load_table.hpp"
#include "servers/demand_meter.hpp"
#include "servers/engine_state_table.hpp"
#include "servers/request_counters.hpp"

namespace dragonflywell::servers {

/// The active manifest and its version, as used by requests.
struct active_manifest {
    active_manifest(std::uint64_t offset, fleet::manifest manifest)
        : version(offset), content(std::move(manifest)), servers(content) {}
    active_manifest(const active_manifest&) = delete;
    active_manifest& operator=(const active_manifest&) = delete;
    active_manifest(active_manifest&&) = delete;
    active_manifest& operator=(active_manifest&&) = delete;
    ~active_manifest() = default;

    std::uint64_t version{};
    fleet::manifest content;
    /// Points into `content`.
    backend_index servers;
};

struct request_limits {
    /// Maximum time from the arrival of a request to the end of its response.
    duration request_timeout{std::chrono::seconds(300)};
    /// Maximum time without progress of a backend server within one response.
    duration progress_timeout{std::chrono::seconds(5)};
    /// How many backend servers are tried for a request that may be retried.
    unsigned max_attempts{3};
    /// Number of entry hosts that share the cost limits of organisations.
    std::uint64_t entry_hosts{1};
};

/// State that the handlers of one daemon share. All members are thread safe.
struct entry_context {
    const clock_source& time;
    zone_name own_zone;
    rcu_cell<active_manifest>& manifest;
    const policy::placement& placement;
    backend_connection_pool& connections;
    backend_load_table& loads;
    coordination::usage_meter& usage;
    coordination::claim_queue& claims;
    request_counters& counters;
    admission_controller& admission;
    policy::retry_budget& retries;
    policy::quarantine& suspects;
    const policy::cut_off_state& cut_off;
    demand_meter& demand;
    const engine_state_table& engines;
    request_limits limits;
};

} // namespace dragonflywell::servers
