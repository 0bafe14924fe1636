#include "policy/horizon_role_planner.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <tuple>

namespace dragonflywell::policy {

namespace {

constexpr std::array<fleet::engine_role, 3> all_roles{fleet::engine_role::mixed, fleet::engine_role::prefill,
                                                      fleet::engine_role::decode};

constexpr int max_reversals = 4;

bool is_unavailable(const planned_engine& engine) {
    return engine.state == engine_state::draining || engine.state == engine_state::changing;
}

/// Capacity by role: now, and after all changes in progress have completed. `units` is the sum of all engines that are
/// not lost.
struct fleet_view {
    role_capacity now;
    role_capacity after;
    std::size_t engines{0};
    std::size_t unavailable{0};
    double units{0};
};

fleet_view get_fleet_view(std::span<const planned_engine> engines, double mixed_efficiency) {
    fleet_view view;
    for (const planned_engine& engine : engines) {
        if (engine.state == engine_state::lost) {
            continue;
        }
        ++view.engines;
        view.units += engine.units_per_second;
        if (is_unavailable(engine)) {
            ++view.unavailable;
        } else {
            add_capacity(view.now, engine.role, engine.units_per_second, mixed_efficiency);
        }
        add_capacity(view.after, engine.target.value_or(engine.role), engine.units_per_second, mixed_efficiency);
    }
    return view;
}

/// Chooses the engine of a role to change: from the zone with the fewest unavailable engines, then from the one with
/// the most engines of that role, then by name. Returns null if there is none.
const planned_engine* choose_engine(std::span<const planned_engine> engines, fleet::engine_role from,
                                    std::span<const role_order> ordered) {
    std::map<zone_name, int> unavailable;
    std::map<zone_name, int> same_role;
    for (const planned_engine& engine : engines) {
        unavailable[engine.zone] += is_unavailable(engine) ? 1 : 0;
        same_role[engine.zone] += engine.state == engine_state::serving && engine.role == from ? 1 : 0;
    }
    for (const role_order& order : ordered) {
        ++unavailable[order.zone];
    }
    const planned_engine* best = nullptr;
    const auto rank = [&](const planned_engine& engine) {
        return std::tuple(unavailable[engine.zone], -same_role[engine.zone], engine.name);
    };
    for (const planned_engine& engine : engines) {
        const bool is_ordered = std::any_of(ordered.begin(), ordered.end(),
                                            [&](const role_order& order) { return order.engine == engine.name; });
        if (engine.state != engine_state::serving || engine.role != from || engine.target || is_ordered) {
            continue;
        }
        if (best == nullptr || rank(engine) < rank(*best)) {
            best = &engine;
        }
    }
    return best;
}

/// Returns 1 for a change that moves capacity to prefill, and -1 for a change that moves capacity to decode.
int get_direction(fleet::engine_role from, fleet::engine_role to) {
    const auto get_bias = [](fleet::engine_role role) {
        return role == fleet::engine_role::mixed ? 0 : (role == fleet::engine_role::prefill ? 1 : -1);
    };
    return get_bias(to) > get_bias(from) ? 1 : -1;
}

double get_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

horizon_role_planner::horizon_role_planner(horizon_role_planner_options options) : m_options(options) {}

role_plan horizon_role_planner::plan(const role_inputs& inputs, role_planner_state& state) const {
    if (!inputs.has_authority) {
        return {.orders = {}, .reason = role_reason::no_authority};
    }
    role_plan result = reorder_stuck_changes(inputs);
    if (!result.orders.empty()) {
        return result;
    }
    if (inputs.freshness == demand_freshness::stale) {
        state.wanted_since.reset();
        return {.orders = {}, .reason = role_reason::stale_demand};
    }
    fleet_view view = get_fleet_view(inputs.engines, m_options.mixed_efficiency);
    if (view.engines == 0) {
        return {.orders = {}, .reason = role_reason::no_engines};
    }
    const double units = view.units / static_cast<double>(view.engines);
    const auto max_unavailable = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::floor(m_options.max_unavailable_share * static_cast<double>(view.engines))));
    while (true) {
        const std::optional<change> best = find_best_change(inputs, state, view.after, view.now, units);
        if (!best) {
            if (result.orders.empty()) {
                state.wanted_since.reset();
                result.reason = role_reason::gain_too_small;
            }
            return result;
        }
        if (result.orders.empty()) {
            result.gain_units = best->gain_units;
            result.loss_units = best->loss_units;
            if (!is_confirmed(inputs, *best, state)) {
                result.reason = role_reason::not_confirmed;
                return result;
            }
        }
        const planned_engine* engine = choose_engine(inputs.engines, best->from, result.orders);
        // The last serving engine never changes, whatever the gain: without it, all requests would be refused.
        if (engine == nullptr || view.unavailable >= max_unavailable || view.unavailable + 1 >= view.engines) {
            result.reason = result.orders.empty() ? role_reason::cap_reached : result.reason;
            return result;
        }
        result.reason = role_reason::ordered;
        result.orders.push_back({.engine = engine->name, .zone = engine->zone, .from = best->from, .to = best->to});
        record_order(inputs, get_direction(best->from, best->to), state);
        ++view.unavailable;
        add_capacity(view.now, best->from, -engine->units_per_second, m_options.mixed_efficiency);
        add_capacity(view.after, best->from, -engine->units_per_second, m_options.mixed_efficiency);
        add_capacity(view.after, best->to, engine->units_per_second, m_options.mixed_efficiency);
    }
}

role_plan horizon_role_planner::reorder_stuck_changes(const role_inputs& inputs) const {
    role_plan result{.orders = {}, .reason = role_reason::resumed};
    for (const planned_engine& engine : inputs.engines) {
        const bool is_stuck = engine.target && engine.in_state >= m_options.change_timeout;
        if (is_stuck && engine.state != engine_state::lost) {
            result.orders.push_back(
                {.engine = engine.name, .zone = engine.zone, .from = engine.role, .to = *engine.target});
        }
    }
    return result;
}

std::optional<horizon_role_planner::change>
horizon_role_planner::find_best_change(const role_inputs& inputs, const role_planner_state& state,
                                       const role_capacity& after, const role_capacity& now, double units) const {
    const double margin = 1 + m_options.headroom;
    const role_demand mean_demand{.prefill = (inputs.current.prefill + inputs.expected.prefill) / 2 * margin,
                                  .decode = (inputs.current.decode + inputs.expected.decode) / 2 * margin};
    const double horizon = get_seconds(m_options.horizon);
    const double downtime = get_seconds(m_options.change_downtime);
    const double before = get_expected_units(after, mean_demand, inputs.relative_error);
    const double current = get_served_units(now, inputs.current);
    std::optional<change> best;
    for (const fleet::engine_role from : all_roles) {
        if (choose_engine(inputs.engines, from, {}) == nullptr) {
            continue;
        }
        for (const fleet::engine_role to : all_roles) {
            if (from == to) {
                continue;
            }
            role_capacity changed = after;
            add_capacity(changed, from, -units, m_options.mixed_efficiency);
            add_capacity(changed, to, units, m_options.mixed_efficiency);
            role_capacity remaining = now;
            add_capacity(remaining, from, -units, m_options.mixed_efficiency);
            const double rate = get_expected_units(changed, mean_demand, inputs.relative_error) - before;
            const change candidate{.from = from,
                                   .to = to,
                                   .gain_units = rate * (horizon - downtime),
                                   .loss_units = (current - get_served_units(remaining, inputs.current)) * downtime};
            const double net = candidate.gain_units - candidate.loss_units;
            if (net > get_min_gain(inputs, state, get_direction(from, to)) &&
                (!best || net > best->gain_units - best->loss_units)) {
                best = candidate;
            }
        }
    }
    return best;
}

double horizon_role_planner::get_min_gain(const role_inputs& inputs, const role_planner_state& state,
                                          int direction) const {
    const double requested = (inputs.current.prefill + inputs.current.decode) * get_seconds(m_options.horizon);
    const bool is_reversal = is_change_recent(inputs, state) && state.last_direction == -direction;
    const double factor = is_reversal ? std::ldexp(m_options.reversal_factor, state.reversals) : 1.0;
    return m_options.min_net_gain * requested * factor;
}

bool horizon_role_planner::is_change_recent(const role_inputs& inputs, const role_planner_state& state) const {
    return state.last_order && inputs.now - *state.last_order < m_options.reversal_window;
}

void horizon_role_planner::record_order(const role_inputs& inputs, int direction, role_planner_state& state) const {
    if (!is_change_recent(inputs, state)) {
        state.reversals = 0;
    } else if (state.last_direction == -direction) {
        state.reversals = std::min(state.reversals + 1, max_reversals);
    }
    state.last_order = inputs.now;
    state.last_direction = direction;
}

bool horizon_role_planner::is_confirmed(const role_inputs& inputs, const change& best,
                                        role_planner_state& state) const {
    const int direction = get_direction(best.from, best.to);
    if (!state.wanted_since || state.wanted_direction != direction) {
        state.wanted_since = inputs.now;
        state.wanted_direction = direction;
    }
    return inputs.now - *state.wanted_since >= m_options.confirmation_time;
}

double horizon_role_planner::get_expected_units(const role_capacity& capacity, const role_demand& demand,
                                                double relative_error) const {
    const double low = std::max(0.0, 1 - relative_error);
    const double high = 1 + relative_error;
    const std::array<role_demand, 3> scenarios{{demand,
                                                {.prefill = demand.prefill * high, .decode = demand.decode * low},
                                                {.prefill = demand.prefill * low, .decode = demand.decode * high}}};
    double sum = 0;
    for (const role_demand& scenario : scenarios) {
        sum += get_served_units(capacity, scenario);
    }
    return sum / static_cast<double>(scenarios.size());
}

} // namespace dragonflywell::policy
