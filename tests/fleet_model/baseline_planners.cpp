#include "fleet_model/baseline_planners.hpp"

#include <algorithm>
#include <map>

namespace dragonflywell::fleet_model {

namespace {

using fleet::engine_role;

constexpr double max_unavailable_share = 0.25;

std::size_t get_free_changes(std::span<const policy::planned_engine> engines) {
    const auto away = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [](const auto& engine) {
        return engine.target.has_value() && engine.state != policy::engine_state::lost;
    }));
    const auto cap =
        std::max<std::size_t>(1, static_cast<std::size_t>(max_unavailable_share * static_cast<double>(engines.size())));
    return cap - std::min(cap, away);
}

role_split count_roles(std::span<const policy::planned_engine> engines) {
    role_split split;
    for (const policy::planned_engine& engine : engines) {
        if (engine.state == policy::engine_state::lost) {
            continue;
        }
        switch (engine.target.value_or(engine.role)) {
        case engine_role::prefill:
            ++split.prefill;
            break;
        case engine_role::decode:
            ++split.decode;
            break;
        case engine_role::mixed:
            ++split.mixed;
            break;
        }
    }
    return split;
}

policy::role_plan make_plan(std::vector<policy::role_order> orders) {
    const bool is_empty = orders.empty();
    return {.orders = std::move(orders),
            .reason = is_empty ? policy::role_reason::gain_too_small : policy::role_reason::ordered};
}

} // namespace

policy::role_plan static_planner::plan(const policy::role_inputs& /*inputs*/,
                                       policy::role_planner_state& /*memory*/) const {
    return make_plan({});
}

policy::role_plan threshold_planner::plan(const policy::role_inputs& inputs,
                                          policy::role_planner_state& /*memory*/) const {
    constexpr double nearly_full = 0.9;
    constexpr double not_full = 0.75;
    if (!inputs.has_authority || inputs.engines.empty() || get_free_changes(inputs.engines) == 0) {
        return make_plan({});
    }
    role_split split = count_roles(inputs.engines);
    const double units = inputs.engines.front().units_per_second;
    const double prefill_use = inputs.current.prefill / std::max(1.0, split.prefill * units);
    const double decode_use = inputs.current.decode / std::max(1.0, split.decode * units);
    if (prefill_use > nearly_full && decode_use < not_full && split.decode > 1) {
        ++split.prefill;
        --split.decode;
    } else if (decode_use > nearly_full && prefill_use < not_full && split.prefill > 1) {
        --split.prefill;
        ++split.decode;
    }
    return make_plan(get_orders_towards(inputs.engines, split, 1));
}

policy::role_plan greedy_planner::plan(const policy::role_inputs& inputs,
                                       policy::role_planner_state& /*memory*/) const {
    if (!inputs.has_authority || inputs.engines.empty()) {
        return make_plan({});
    }
    const role_split now = count_roles(inputs.engines);
    const double units = inputs.engines.front().units_per_second;
    role_split best = now;
    double best_served = policy::get_served_units(get_capacity(now, units, m_mixed_efficiency), inputs.current);
    for (const role_split& split : get_splits(now.prefill + now.decode + now.mixed)) {
        const double served = policy::get_served_units(get_capacity(split, units, m_mixed_efficiency), inputs.current);
        if (served > best_served + 1) {
            best = split;
            best_served = served;
        }
    }
    return make_plan(get_orders_towards(inputs.engines, best, get_free_changes(inputs.engines)));
}

policy::role_capacity get_capacity(const role_split& split, double units, double mixed_efficiency) {
    return {.prefill = split.prefill * units,
            .decode = split.decode * units,
            .mixed = split.mixed * units * mixed_efficiency};
}

std::vector<role_split> get_splits(int engines) {
    std::vector<role_split> splits;
    for (int prefill = 0; prefill <= engines; ++prefill) {
        for (int mixed = 0; prefill + mixed <= engines; ++mixed) {
            splits.push_back({.prefill = prefill, .decode = engines - prefill - mixed, .mixed = mixed});
        }
    }
    return splits;
}

std::vector<policy::role_order> get_orders_towards(std::span<const policy::planned_engine> engines,
                                                   const role_split& wanted, std::size_t most) {
    const role_split now = count_roles(engines);
    std::map<engine_role, int> missing{{engine_role::prefill, wanted.prefill - now.prefill},
                                       {engine_role::decode, wanted.decode - now.decode},
                                       {engine_role::mixed, wanted.mixed - now.mixed}};
    std::vector<policy::role_order> orders;
    for (const policy::planned_engine& engine : engines) {
        const bool is_free = engine.state == policy::engine_state::serving && !engine.target;
        if (!is_free || missing[engine.role] >= 0 || orders.size() >= most) {
            continue;
        }
        const auto to = std::find_if(missing.begin(), missing.end(), [](const auto& item) { return item.second > 0; });
        if (to == missing.end()) {
            break;
        }
        orders.push_back({.engine = engine.name, .zone = engine.zone, .from = engine.role, .to = to->first});
        ++missing[engine.role];
        --to->second;
    }
    return orders;
}

} // namespace dragonflywell::fleet_model
