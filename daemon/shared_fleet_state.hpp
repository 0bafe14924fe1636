#pragma once

#include "core/rcu_cell.hpp"
#include "daemon/demand_report_queue.hpp"
#include "daemon/fleet_status.hpp"
#include "servers/demand_meter.hpp"
#include "servers/engine_state_table.hpp"

namespace dragonflywell::daemon {

/// What the request path, the peers and the zone's control share about the fleet. All members are thread safe.
struct shared_fleet_state {
    servers::demand_meter demand;
    servers::engine_state_table engines;
    /// Reports of all entry hosts; the peers add those of others.
    demand_report_queue reports;
    /// The newest reports of this host, for the peers to pass on.
    rcu_cell<policy::demand_report> own_report{nullptr};
    rcu_cell<fleet_status> status{nullptr};
};

} // namespace dragonflywell::daemon
