#include "daemon/fleet_status.hpp"

#include <boost/json.hpp>
#include <cmath>

namespace dragonflywell::daemon {

namespace {

const char* get_state_name(policy::engine_state state) {
    switch (state) {
    case policy::engine_state::serving:
        return "serving";
    case policy::engine_state::draining:
        return "draining";
    case policy::engine_state::changing:
        return "changing";
    case policy::engine_state::lost:
        return "lost";
    }
    return "serving";
}

const char* get_freshness_name(policy::demand_freshness freshness) {
    switch (freshness) {
    case policy::demand_freshness::fresh:
        return "fresh";
    case policy::demand_freshness::partial:
        return "partial";
    case policy::demand_freshness::stale:
        return "stale";
    }
    return "stale";
}

boost::json::object encode_demand(const policy::role_demand& demand) {
    return {{"prefill", std::lround(demand.prefill)}, {"decode", std::lround(demand.decode)}};
}

boost::json::array encode_engines(const std::vector<policy::planned_engine>& engines) {
    boost::json::array result;
    for (const policy::planned_engine& engine : engines) {
        boost::json::object item{{"name", engine.name.value()},
                                 {"zone", engine.zone.value()},
                                 {"role", fleet::get_role_name(engine.role)},
                                 {"state", get_state_name(engine.state)}};
        if (engine.target) {
            item["target"] = fleet::get_role_name(*engine.target);
        }
        result.push_back(std::move(item));
    }
    return result;
}

boost::json::array encode_orders(const std::vector<policy::role_order>& orders) {
    boost::json::array result;
    for (const policy::role_order& order : orders) {
        result.push_back({{"engine", order.engine.value()},
                          {"zone", order.zone.value()},
                          {"from", fleet::get_role_name(order.from)},
                          {"to", fleet::get_role_name(order.to)}});
    }
    return result;
}

boost::json::object encode_spending(const policy::spend_plan& plan) {
    boost::json::array orders;
    for (const policy::spend_order& order : plan.orders) {
        orders.push_back({{"action", policy::get_spend_action_name(order.action)},
                          {"zone", order.zone.value()},
                          {"cheap", order.kind == policy::server_kind::cheap},
                          {"server", order.server.value()}});
    }
    return {{"reason", policy::get_spend_reason_name(plan.reason)},
            {"wanted_regular", plan.wanted_regular},
            {"wanted_cheap", plan.wanted_cheap},
            {"price_per_hour", plan.price_per_hour},
            {"proposed", std::move(orders)}};
}

boost::json::object encode_model(const model_fleet_status& model) {
    boost::json::object organisations;
    for (const auto& [name, demand] : model.organisations) {
        organisations[name.value()] = encode_demand(demand);
    }
    boost::json::object result{{"engines", encode_engines(model.engines)},
                               {"demand", encode_demand(model.current)},
                               {"forecast", encode_demand(model.expected)},
                               {"forecast_error", model.relative_error},
                               {"freshness", get_freshness_name(model.freshness)},
                               {"reason", policy::get_role_reason_name(model.roles.reason)},
                               {"gain_units", std::lround(model.roles.gain_units)},
                               {"loss_units", std::lround(model.roles.loss_units)},
                               {"last_orders", encode_orders(model.last_orders)},
                               {"organisations", std::move(organisations)},
                               {"spending", encode_spending(model.spending)}};
    if (model.last_ordered_at) {
        const auto since_epoch = model.last_ordered_at->time_since_epoch();
        result["last_ordered_at"] = std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
    }
    return result;
}

} // namespace

boost::json::object encode_fleet_status(const fleet_status& status) {
    boost::json::object models;
    for (const auto& [name, model] : status.models) {
        models[name.value()] = encode_model(model);
    }
    return {{"authority", status.has_authority},
            {"log_reachable", status.is_log_reachable},
            {"completed_changes", status.completed_changes},
            {"given_up_changes", status.given_up_changes},
            {"unresolved_orders", status.unresolved_orders},
            {"models", std::move(models)}};
}

} // namespace dragonflywell::daemon
