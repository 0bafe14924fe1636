#pragma once

#include "core/snapshot_cell.hpp"
#include "daemon/demand_board.hpp"
#include "daemon/fleet_status.hpp"
#include "servers/demand_meter.hpp"
#include "servers/engine_state_table.hpp"

namespace dragonflywell::daemon {

/// What the request path, the peers and the zone's control share about the fleet. All members are thread safe.
struct fleet_parts {
    servers::demand_meter demand;
    servers::engine_state_table engines;
    /// Reports of all entry hosts; the peers add those of others.
    demand_board reports;
    /// The newest reports of this host, for the peers to pass on.
    snapshot_cell<policy::demand_report> own_report{nullptr};
    snapshot_cell<fleet_status> status{nullptr};
};

} // namespace dragonflywell::daemon
