#include "daemon/zone_control_task.hpp"

#include <algorithm>

namespace dragonflywell::daemon {

namespace {

constexpr double milliunits_per_unit = 1000;
constexpr double percent = 100;
/// How far ahead the demand forecast for role planning looks.
constexpr duration role_horizon = std::chrono::seconds(45);

policy::role_demand get_units(const policy::demand_rate& rate, const fleet::model& model) {
    return {.prefill = rate.prompt_tokens * static_cast<double>(model.prompt_token_milliunits) / milliunits_per_unit,
            .decode = rate.output_tokens * static_cast<double>(model.output_token_milliunits) / milliunits_per_unit};
}

double get_sum(const policy::role_demand& demand) {
    return demand.prefill + demand.decode;
}

policy::spend_planner_options make_spend_options(const fleet::manifest& manifest, double units_per_server) {
    const fleet::spending& prices = manifest.prices;
    return {.units_per_server = units_per_server,
            .lead_time = prices.lead_time,
            .max_cheap_share = static_cast<double>(prices.max_cheap_percent) / percent,
            .regular_price = static_cast<double>(prices.regular_price_milli) / milliunits_per_unit,
            .cheap_price = static_cast<double>(prices.cheap_price_milli) / milliunits_per_unit,
            .max_price_per_hour = static_cast<double>(prices.max_price_per_hour_milli) / milliunits_per_unit};
}

/// Returns the fraction of the demand that comes from organisations that do not accept cheap servers.
double get_guaranteed_share(const fleet::manifest& manifest,
                            const std::map<organisation_name, policy::role_demand>& organisations) {
    double all = 0;
    double guaranteed = 0;
    for (const auto& [name, demand] : organisations) {
        const auto found = manifest.organisations.find(name);
        all += get_sum(demand);
        guaranteed +=
            found == manifest.organisations.end() || found->second.accepts_cheap_servers ? 0 : get_sum(demand);
    }
    return all > 0 ? guaranteed / all : 0;
}

} // namespace

std::string get_control_stream(const zone_name& zone) {
    return "control-" + zone.value();
}

zone_control_task::foreign_zone::foreign_zone(coordination::append_log& log, const zone_name& zone,
                                              const coordination::writer_id& self)
    : stream(log, get_control_stream(zone), self) {
    stream.add_observer(changes);
}

zone_control_task::zone_control_task(const control_task_context& context)
    : m_context(context),
      m_platform_log({.server = context.settings.platform_log, .deadline = context.settings.log_deadline}),
      m_exchange(m_platform_log), m_engines({}),
      m_stream(m_platform_log, get_control_stream(context.settings.zone), context.self),
      m_lease(m_stream, context.time, {.scope = "control/" + context.settings.zone.value()}),
      m_receiver(m_engines,
                 [this](const backend_server_name& name) -> std::optional<endpoint> {
                     const std::shared_ptr<const servers::active_manifest> manifest = m_context.manifest.get();
                     const auto found = manifest->content.backend_servers.find(name);
                     return found == manifest->content.backend_servers.end() ? std::nullopt
                                                                             : std::optional(found->second.address);
                 }),
      m_ledger(m_stream, m_lease, m_receiver, m_liveness), m_observer(m_engines, context.time, {}),
      m_driver(m_stream, m_lease, m_ledger, m_changes, context.time, {}), m_estimator(m_demand_options),
      m_role_planner({}), m_authority(&context.metrics.get_gauge("dragonflywell_zone_authority")),
      m_announced(&context.metrics.get_counter("dragonflywell_role_changes_announced_total")),
      m_log(get_logger("zone_control")) {
    m_stream.add_observer(m_changes);
    m_snapshots = std::make_unique<coordination::snapshot_writer>(m_platform_log, m_stream, context.time,
                                                                  coordination::snapshot_writer_options{});
}

void zone_control_task::run_round() {
    const std::shared_ptr<const servers::active_manifest> manifest = m_context.manifest.get();
    if (manifest == nullptr) {
        return;
    }
    m_observer.refresh(manifest->content);
    follow_foreign_zones(manifest->content);
    collect_demand();
    auto status = std::make_shared<fleet_status>();
    status->is_log_reachable = control(manifest->content);
    status->has_authority = m_lease.get_authority().has_value();
    status->completed_changes = m_driver.get_completed();
    status->given_up_changes = m_driver.get_given_up();
    status->unresolved_orders = m_ledger.get_unresolved().size();
    status->models = m_last;
    m_authority->set(status->has_authority ? 1 : 0);
    publish_engine_states();
    m_context.fleet.status.set(std::move(status));
}

void zone_control_task::finish() {
    m_lease.release();
}

void zone_control_task::follow_foreign_zones(const fleet::manifest& manifest) {
    for (const auto& [name, zone] : manifest.zones) {
        if (name == m_context.settings.zone) {
            continue;
        }
        std::unique_ptr<foreign_zone>& foreign = m_foreign[name];
        if (foreign == nullptr) {
            foreign = std::make_unique<foreign_zone>(m_platform_log, name, m_context.self);
        }
        try {
            foreign->stream.poll();
        } catch (const error& fault) {
            // The role changes of that zone keep their last known state.
            m_log->debug(
                "Reading the control stream of availability zone {} failed; its last known role changes are kept: {}.",
                name.value(), fault.what());
            return;
        }
    }
}

void zone_control_task::collect_demand() {
    const wall_time now = m_context.time.wall_now();
    const std::int64_t bucket = now.time_since_epoch() / m_demand_options.bucket;
    if (!m_reported_bucket) {
        m_reported_bucket = bucket;
        static_cast<void>(m_context.fleet.demand.take());
    }
    std::optional<policy::demand_report> own;
    if (bucket > *m_reported_bucket) {
        // After this process was paused, all demand since the last report falls into the newest bucket. The estimator
        // holds such a value back as an outlier.
        m_reported_bucket = bucket;
        policy::demand_report report{.host = m_context.settings.host,
                                     .incarnation = m_context.self.incarnation,
                                     .start = wall_time(m_demand_options.bucket * (bucket - 1)),
                                     .length = m_demand_options.bucket,
                                     .rows = m_context.fleet.demand.take()};
        m_context.fleet.own_report.set(std::make_shared<const policy::demand_report>(report));
        m_context.fleet.reports.add(report);
        own = std::move(report);
    }
    exchange_demand(own ? &*own : nullptr);
    for (const policy::demand_report& report : m_context.fleet.reports.take()) {
        m_estimator.add(report, now);
    }
    m_estimator.advance(now);
}

void zone_control_task::exchange_demand(const policy::demand_report* own) {
    try {
        if (own != nullptr) {
            m_exchange.publish(*own);
        }
        for (policy::demand_report& report : m_exchange.fetch()) {
            if (report.host != m_context.settings.host) {
                m_context.fleet.reports.add(std::move(report));
            }
        }
    } catch (const coordination::log_unavailable_error& fault) {
        // Without the log no orders are sent either, so a stale estimate does no harm.
        m_log->debug("Exchanging demand reports failed; only those at hand are used: {}.", fault.what());
    }
}

bool zone_control_task::control(const fleet::manifest& manifest) {
    bool is_log_reachable = true;
    try {
        m_lease.tick();
        if (m_lease.get_authority()) {
            m_ledger.reconcile();
            m_driver.advance(m_observer.get_all(), manifest);
            m_snapshots->tick();
        }
    } catch (const coordination::log_unavailable_error& fault) {
        if (m_was_log_reachable) {
            m_log->warn("The log is unreachable; no orders are sent until it answers: {}.", fault.what());
        }
        is_log_reachable = false;
    }
    m_was_log_reachable = is_log_reachable;
    const bool has_authority = is_log_reachable && m_lease.get_authority().has_value();
    std::erase_if(m_last, [&](const auto& item) { return !manifest.models.contains(item.first); });
    for (const auto& [name, model] : manifest.models) {
        plan(manifest, name, m_last[name], has_authority);
    }
    return is_log_reachable;
}

void zone_control_task::plan(const fleet::manifest& manifest, const model_name& model, model_fleet_status& status,
                             bool has_authority) {
    const fleet::model& described = manifest.models.at(model);
    const policy::demand_forecast now = m_estimator.forecast(model, duration::zero());
    const policy::demand_forecast ahead = m_estimator.forecast(model, role_horizon);
    status.engines = get_engines(manifest, model);
    status.current = get_units(now.rate, described);
    status.expected = get_units(ahead.rate, described);
    status.relative_error = now.relative_error;
    status.freshness = now.freshness;
    status.organisations.clear();
    for (const auto& [name, rate] : m_estimator.get_by_organisation(model)) {
        status.organisations[name] = get_units(rate, described);
    }
    status.roles = m_role_planner.plan({.now = m_context.time.wall_now(),
                                        .engines = status.engines,
                                        .current = status.current,
                                        .expected = status.expected,
                                        .relative_error = status.relative_error,
                                        .freshness = status.freshness,
                                        .has_authority = has_authority},
                                       m_role_memory[model]);
    plan_spending(manifest, model, status, has_authority);
    if (status.roles.orders.empty()) {
        return;
    }
    status.last_orders = status.roles.orders;
    status.last_ordered_at = m_context.time.wall_now();
    std::vector<policy::role_order> own;
    std::copy_if(status.roles.orders.begin(), status.roles.orders.end(), std::back_inserter(own),
                 [this](const policy::role_order& order) { return order.zone == m_context.settings.zone; });
    try {
        m_announced->add(m_driver.announce(own));
    } catch (const coordination::log_unavailable_error& fault) {
        m_log->warn("Announcing role changes in the log failed; the next round plans anew: {}.", fault.what());
    }
}

void zone_control_task::plan_spending(const fleet::manifest& manifest, const model_name& model,
                                      model_fleet_status& status, bool has_authority) {
    std::vector<policy::owned_server> servers;
    double units = 0;
    for (const policy::planned_engine& engine : status.engines) {
        const fleet::backend_server& server = manifest.backend_servers.at(engine.name);
        servers.push_back({.name = engine.name,
                           .zone = engine.zone,
                           .kind = server.is_cheap ? policy::server_kind::cheap : policy::server_kind::regular});
        units = std::max(units, engine.units_per_second);
    }
    if (servers.empty()) {
        return;
    }
    std::vector<policy::zone_market> markets;
    for (const auto& [name, zone] : manifest.zones) {
        markets.push_back({.zone = name, .max_servers = zone.max_servers, .has_cheap_servers = zone.has_cheap_servers});
    }
    const policy::demand_forecast ahead = m_estimator.forecast(model, manifest.prices.lead_time);
    const policy::spend_planner planner(make_spend_options(manifest, units));
    status.spending = planner.plan({.now = m_context.time.wall_now(),
                                    .servers = servers,
                                    .markets = markets,
                                    .current_units = get_sum(status.current),
                                    .expected_units = get_sum(get_units(ahead.rate, manifest.models.at(model))),
                                    .relative_error = status.relative_error,
                                    .guaranteed_share = get_guaranteed_share(manifest, status.organisations),
                                    .freshness = status.freshness,
                                    .has_authority = has_authority},
                                   m_spend_memory[model]);
}

std::map<backend_server_name, role_change> zone_control_task::get_all_changes() const {
    std::map<backend_server_name, role_change> changes = m_changes.get_all();
    for (const auto& [zone, foreign] : m_foreign) {
        changes.insert(foreign->changes.get_all().begin(), foreign->changes.get_all().end());
    }
    return changes;
}

std::vector<policy::planned_engine> zone_control_task::get_engines(const fleet::manifest& manifest,
                                                                   const model_name& model) const {
    const std::map<backend_server_name, role_change> changes = get_all_changes();
    std::vector<policy::planned_engine> engines;
    for (const auto& [name, server] : manifest.backend_servers) {
        const fleet::engine* described = server.get_engine();
        if (described == nullptr || described->model != model) {
            continue;
        }
        policy::planned_engine engine{.name = name,
                                      .zone = server.zone,
                                      .role = described->role,
                                      .target = {},
                                      .units_per_second = static_cast<double>(described->capacity_tokens)};
        const auto observed = m_observer.get_all().find(name);
        const bool is_known = observed != m_observer.get_all().end() && observed->second.load;
        if (is_known) {
            engine.role = observed->second.load->role;
        }
        // The role change driver enforces the timeouts of each change, so the time in a state is left at zero here.
        if (const auto change = changes.find(name); change != changes.end()) {
            engine.target = change->second.to;
            engine.state =
                change->second.is_confirmed ? policy::engine_state::changing : policy::engine_state::draining;
        }
        if (!is_known || !observed->second.is_reachable) {
            engine.state = policy::engine_state::lost;
        }
        engines.push_back(std::move(engine));
    }
    return engines;
}

void zone_control_task::publish_engine_states() {
    const std::map<backend_server_name, role_change> changes = get_all_changes();
    servers::engine_states states;
    for (const auto& [name, engine] : m_observer.get_all()) {
        if (engine.load) {
            states[name] = {.role = engine.load->role, .takes_new_work = !changes.contains(name)};
        }
    }
    for (const auto& [name, change] : changes) {
        states.try_emplace(name, servers::engine_state{.role = change.from, .takes_new_work = false});
    }
    m_context.fleet.engines.set(std::move(states));
}

} // namespace dragonflywell::daemon
