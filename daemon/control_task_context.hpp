#pragma once

#include "coordination/usage.hpp"
#include "core/metrics.hpp"
#include "core/rcu_cell.hpp"
#include "daemon/daemon_settings.hpp"
#include "daemon/shared_fleet_state.hpp"
#include "servers/entry_context.hpp"

namespace dragonflywell::daemon {

/// References that the control tasks of one daemon share. All members are thread safe and outlive the tasks.
struct control_task_context {
    const daemon_settings& settings;
    const clock_source& time;
    coordination::writer_id self;
    metrics_registry& metrics;
    rcu_cell<servers::active_manifest>& manifest;
    coordination::usage_meter& usage;
    coordination::claim_queue& claims;
    policy::cut_off_state& cut_off;
    shared_fleet_state& fleet;
};

} // namespace dragonflywell::daemon
