#pragma once

#include "core/rcu_cell.hpp"
#include "daemon/demand_report_queue.hpp"
#include "daemon/fleet_status.hpp"
#include "servers/demand_meter.hpp"
#include "servers/engine_state_table.hpp"

namespace dragonflywell::daemon {

/// State of the fleet that the request path, the zone control task and the operators' status share. All members are
/// thread safe.
struct shared_fleet_state {
    servers::demand_meter demand;
    servers::engine_state_table engines;
    /// Demand reports of all entry hosts.
    demand_report_queue reports;
    /// The newest demand report of this host.
    rcu_cell<policy::demand_report> own_report{nullptr};
    rcu_cell<fleet_status> status{nullptr};
};

} // namespace dragonflywell::daemon
