#include "policy/stage_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace dragonflywell::policy {

namespace {

using fleet::engine_stage;

/// Returns the engines in the order in which they are chosen for decoding: regular engines before cheap ones, round
/// robin over the zones, and within a zone current decode engines before others.
std::vector<const staged_engine*> rank_decode_engines(std::span<const staged_engine> engines) {
    std::map<zone_name, std::vector<const staged_engine*>> by_zone;
    for (const staged_engine& engine : engines) {
        by_zone[engine.zone].push_back(&engine);
    }
    struct ranked {
        const staged_engine* engine;
        std::size_t turn;
    };
    std::vector<ranked> order;
    for (auto& [zone, members] : by_zone) {
        std::stable_sort(members.begin(), members.end(), [](const staged_engine* left, const staged_engine* right) {
            const auto rank = [](const staged_engine* engine) {
                return std::pair(engine->is_cheap, engine->stage != engine_stage::decode);
            };
            return rank(left) < rank(right);
        });
        for (std::size_t turn = 0; turn < members.size(); ++turn) {
            order.push_back({.engine = members[turn], .turn = turn});
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const ranked& left, const ranked& right) {
        return std::pair(left.engine->is_cheap, left.turn) < std::pair(right.engine->is_cheap, right.turn);
    });
    std::vector<const staged_engine*> ranked_engines;
    ranked_engines.reserve(order.size());
    for (const ranked& item : order) {
        ranked_engines.push_back(item.engine);
    }
    return ranked_engines;
}

} // namespace

double get_mean_slots(std::span<const staged_engine> engines) {
    double slots = 0;
    for (const staged_engine& engine : engines) {
        slots += engine.slots;
    }
    return slots / static_cast<double>(engines.size());
}

double assume_initial_running(std::size_t engines, double slots_per_engine, const stage_plan_options& options) {
    const double decode_engines =
        options.initial_decode_share * static_cast<double>(engines) - options.spare_decode_engines;
    const double needed = std::floor(std::max(0.0, decode_engines) / (1 + options.spare_share));
    return needed * slots_per_engine * options.decode_fill;
}

std::uint32_t count_decode_engines(double slots_per_engine, const stage_demand& demand,
                                   const stage_plan_options& options) {
    const double needed = std::ceil(demand.running / std::max(1.0, slots_per_engine * options.decode_fill));
    const double with_spare = std::ceil(needed * (1 + options.spare_share));
    return std::max(static_cast<std::uint32_t>(with_spare) + options.spare_decode_engines, options.min_decode_engines);
}

std::size_t split_engines(std::size_t engines, double slots_per_engine, const stage_demand& demand,
                          const stage_plan_options& options) {
    const std::size_t wanted = count_decode_engines(slots_per_engine, demand, options);
    stage_plan_options full = options;
    full.decode_fill = std::max(options.decode_fill, options.max_decode_fill);
    const std::size_t fewest = count_decode_engines(slots_per_engine, demand, full);
    const double prefill_engines = demand.prefill_engines.value_or(0) / options.prefill_utilisation;
    const double left = std::max(0.0, static_cast<double>(engines) - std::ceil(prefill_engines));
    return std::clamp(static_cast<std::size_t>(left), fewest, wanted);
}

std::vector<stage_change> plan_stages(std::span<const staged_engine> engines, const stage_demand& demand,
                                      const stage_plan_options& options) {
    std::vector<stage_change> changes;
    if (engines.size() < 2) {
        return changes;
    }
    const std::vector<const staged_engine*> ranked = rank_decode_engines(engines);
    // At least half of the engines are left for prefills.
    const std::size_t decode_engines =
        std::min(split_engines(engines.size(), get_mean_slots(engines), demand, options), engines.size() / 2);
    const auto changing = static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(), [](const staged_engine& engine) { return engine.is_changing; }));
    const double share = demand.is_before_first_request ? 1.0 : options.max_changing_share;
    const auto max_changing =
        std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(engines.size())));
    for (std::size_t index = 0; index < ranked.size(); ++index) {
        const staged_engine& engine = *ranked[index];
        const engine_stage wanted = index < decode_engines ? engine_stage::decode : engine_stage::prefill;
        if (engine.stage == wanted || engine.is_changing) {
            continue;
        }
        if (changing + changes.size() >= max_changing) {
            break;
        }
        changes.push_back({.engine = engine.name, .stage = wanted});
    }
    return changes;
}

} // namespace dragonflywell::policy
