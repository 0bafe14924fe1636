#pragma once

#include <memory>

#include "coordination/lease.hpp"
#include "coordination/order_dispatcher.hpp"
#include "coordination/snapshot_writer.hpp"
#include "core/log.hpp"
#include "daemon/control_task.hpp"
#include "daemon/control_task_context.hpp"
#include "daemon/demand_exchange.hpp"
#include "daemon/engine_observer.hpp"
#include "daemon/engine_order_receiver.hpp"
#include "daemon/role_change_driver.hpp"
#include "platform/http_engine_control.hpp"
#include "platform/http_log.hpp"
#include "policy/demand_estimator.hpp"
#include "policy/horizon_role_planner.hpp"
#include "policy/spend_planner.hpp"

namespace dragonflywell::daemon {

/// Returns the stream that holds the lease, the orders and the role changes of an availability zone.
[[nodiscard]] std::string get_control_stream(const zone_name& zone);

/// Declares no process gone for good. A send without a known outcome then holds its engine until the effect is seen.
class cautious_liveness final : public coordination::host_liveness {
public:
    [[nodiscard]] bool has_terminated(const coordination::writer_id& /*sender*/) const override { return false; }
};

/// Controls the engines of this daemon's availability zone while it holds the zone's lease, and tells the request path
/// of every daemon which engines take new work.
///
/// Without authority or with the log down nothing is ordered; roles and drains stay as last known, and routing goes on.
class zone_control_task final : public control_task {
public:
    explicit zone_control_task(const control_task_context& parts);

    void run_round() override;
    /// Gives the lease up.
    void finish() override;
    [[nodiscard]] const char* get_name() const noexcept override { return "zone_control"; }
    [[nodiscard]] duration get_interval() const noexcept override { return m_parts.settings.control_interval; }

private:
    /// Role changes of another availability zone, as its holder announces them.
    struct foreign_zone {
        foreign_zone(coordination::append_log& log, const zone_name& zone, const coordination::writer_id& self);

        coordination::folded_stream stream;
        role_change_fold changes;
    };

    void follow_foreign_zones(const fleet::manifest& manifest);
    void collect_demand();
    void exchange_demand(const policy::demand_report* own);
    /// Does what the lease permits and plans for each model; returns whether the log could be reached.
    bool control(const fleet::manifest& manifest);
    void plan(const fleet::manifest& manifest, const model_name& model, model_fleet_status& status, bool has_authority);
    void plan_spending(const fleet::manifest& manifest, const model_name& model, model_fleet_status& status,
                       bool has_authority);
    [[nodiscard]] std::map<backend_server_name, role_change> get_all_changes() const;
    [[nodiscard]] std::vector<policy::planned_engine> get_engines(const fleet::manifest& manifest,
                                                                  const model_name& model) const;
    void publish_engine_states();

    control_task_context m_parts;
    platform::http_log m_platform_log;
    demand_exchange m_exchange;
    platform::http_engine_control m_engines;
    coordination::folded_stream m_stream;
    role_change_fold m_changes;
    coordination::lease_candidate m_lease;
    engine_order_receiver m_receiver;
    cautious_liveness m_liveness;
    coordination::order_dispatcher m_ledger;
    engine_observer m_observer;
    role_change_driver m_driver;
    std::unique_ptr<coordination::snapshot_writer> m_snapshots;
    std::map<zone_name, std::unique_ptr<foreign_zone>> m_foreign;
    policy::demand_estimator_options m_demand_options;
    policy::demand_estimator m_estimator;
    policy::horizon_role_planner m_role_planner;
    std::map<model_name, policy::role_planner_state> m_role_memory;
    std::map<model_name, policy::spend_planner_state> m_spend_memory;
    std::map<model_name, model_fleet_status> m_last;
    std::optional<std::int64_t> m_reported_bucket;
    bool m_was_log_reachable{true};
    gauge* m_authority;
    counter* m_announced;
    std::shared_ptr<spdlog::logger> m_log;
};

} // namespace dragonflywell::daemon
