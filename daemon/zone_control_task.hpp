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

/// Returns the name of the log stream that holds the lease, the orders and the role changes of an availability zone.
[[nodiscard]] std::string get_control_stream(const zone_name& zone);

/// Never reports a process as permanently gone, so that an order with an unknown outcome blocks its engine until the
/// effect of the order is observed.
class cautious_liveness final : public coordination::host_liveness {
public:
    [[nodiscard]] bool has_terminated(const coordination::writer_id& /*sender*/) const override { return false; }
};

/// Orders role changes of the engines in this daemon's availability zone while the daemon holds the zone's lease. With
/// or without the lease, it publishes to the daemon's request path which engines accept new work.
///
/// No orders are sent without the lease or while the log is unavailable. Roles and drains then keep their last known
/// state, and routing continues.
class zone_control_task final : public control_task {
public:
    explicit zone_control_task(const control_task_context& context);

    void run_round() override;
    /// Releases the lease. Throws `log_unavailable_error`.
    void finish() override;
    [[nodiscard]] const char* get_name() const noexcept override { return "zone_control"; }
    [[nodiscard]] duration get_interval() const noexcept override { return m_context.settings.control_interval; }

private:
    /// Role changes of another availability zone, as the holder of that zone's lease announces them.
    struct foreign_zone {
        foreign_zone(coordination::append_log& log, const zone_name& zone, const coordination::writer_id& self);

        coordination::folded_stream stream;
        role_change_fold changes;
    };

    void follow_foreign_zones(const fleet::manifest& manifest);
    void collect_demand();
    void exchange_demand(const policy::demand_report* own);
    /// Acquires or renews the lease, advances role changes while the lease is held, and plans for each model. Returns
    /// whether the log was reachable.
    bool control(const fleet::manifest& manifest);
    void plan(const fleet::manifest& manifest, const model_name& model, model_fleet_status& status, bool has_authority);
    void plan_spending(const fleet::manifest& manifest, const model_name& model, model_fleet_status& status,
                       bool has_authority);
    [[nodiscard]] std::map<backend_server_name, role_change> get_all_changes() const;
    [[nodiscard]] std::vector<policy::planned_engine> get_engines(const fleet::manifest& manifest,
                                                                  const model_name& model) const;
    void publish_engine_states();

    control_task_context m_context;
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
