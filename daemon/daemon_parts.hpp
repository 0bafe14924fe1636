#pragma once

#include "coordination/usage.hpp"
#include "core/metrics.hpp"
#include "core/snapshot_cell.hpp"
#include "daemon/daemon_settings.hpp"
#include "daemon/fleet_parts.hpp"
#include "servers/entry_context.hpp"

namespace dragonflywell::daemon {

/// What the control tasks of one daemon share. All members are thread safe and outlive the tasks.
struct daemon_parts {
    const daemon_settings& settings;
    const clock_source& time;
    coordination::writer_id self;
    metrics_registry& metrics;
    snapshot_cell<servers::active_manifest>& manifest;
    coordination::usage_meter& usage;
    coordination::claim_queue& claims;
    policy::cut_off_state& cut_off;
    fleet_parts& fleet;
};

} // namespace dragonflywell::daemon
