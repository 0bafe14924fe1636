#pragma once

#include "servers/entry_context.hpp"

namespace dragonflywell::testing {

/// An entry context with its own components, for tests of request handling without sockets.
struct entry_parts {
    virtual_clock time;
    metrics_registry metrics;
    rcu_cell<servers::active_manifest> manifest{nullptr};
    policy::two_choice_placement placement;
    servers::backend_connection_pool connections{time, {}};
    servers::backend_load_table loads;
    coordination::usage_meter usage;
    coordination::claim_queue claims;
    servers::request_counters counters{metrics};
    servers::demand_meter demand;
    servers::engine_state_table engines;
    servers::admission_controller admission{time, {}};
    policy::retry_budget retries{{}, time.now() - policy::retry_budget_options{}.window};
    policy::quarantine suspects{{}};
    policy::cut_off_state cut_off;
    servers::entry_context context{.time = time,
                                   .own_zone = zone_name("a"),
                                   .manifest = manifest,
                                   .placement = placement,
                                   .connections = connections,
                                   .loads = loads,
                                   .usage = usage,
                                   .claims = claims,
                                   .counters = counters,
                                   .admission = admission,
                                   .retries = retries,
                                   .suspects = suspects,
                                   .cut_off = cut_off,
                                   .demand = demand,
                                   .engines = engines,
                                   .limits = {}};
};

} // namespace dragonflywell::testing
