#include "policy/group_load.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace dragonflywell::policy {

namespace {

/// Penalties on the backlog and the utilisation of an engine of another group of hosts, because this host has little
/// information about it. The spread is the largest extra penalty, which depends on the engine and the prompt.
constexpr duration remote_backlog_penalty = std::chrono::milliseconds(60);
constexpr duration max_remote_spread = std::chrono::milliseconds(40);
constexpr double remote_utilisation_penalty = 0.3;
/// Assumed backlog of an engine whose group has sent no recent load.
constexpr duration unknown_group_backlog = std::chrono::milliseconds(300);
/// Backlog of a group without engines, so that no other group sends requests to it.
constexpr duration no_engines_backlog = std::chrono::hours(1);

} // namespace

std::uint32_t count_generating(const engine_load_tracker& tracker, const backend_server_name& engine,
                               fleet::engine_stage stage) {
    const std::uint32_t running = tracker.get_running(engine);
    const std::uint32_t reading = stage == fleet::engine_stage::decode ? tracker.get_prompts(engine) : 0;
    return running - std::min(reading, running);
}

group_load get_group_load(const engine_load_tracker& tracker,
                          const std::function<bool(const backend_server_name&)>& is_counted, steady_time now) {
    group_load load;
    duration backlog{};
    std::int64_t prefill_engines = 0;
    double slots = 0;
    double running = 0;
    for (const auto& [name, engine] : tracker.get_engines()) {
        if (!is_counted(name)) {
            continue;
        }
        if (engine.attributes.stage == fleet::engine_stage::prefill) {
            backlog += tracker.get_backlog(name, now);
            ++prefill_engines;
        } else {
            slots += engine.attributes.slots;
            running += tracker.get_running(name);
            load.running += count_generating(tracker, name, engine.attributes.stage);
        }
    }
    load.backlog = prefill_engines > 0 ? backlog / prefill_engines : no_engines_backlog;
    load.utilisation = slots > 0 ? running / slots : 1;
    return load;
}

group_load get_unknown_group_load() {
    return {.backlog = unknown_group_backlog, .utilisation = 1, .running = 0};
}

void add_remote_load(engine_status& status, const group_load& load, const backend_server_name& engine,
                     std::uint64_t prompt_key) {
    const std::chrono::duration<double> spread = max_remote_spread * hash_to_unit_interval(engine.value(), prompt_key);
    status.unobserved_backlog += load.backlog + remote_backlog_penalty + std::chrono::duration_cast<duration>(spread);
    status.unobserved_utilisation += load.utilisation + remote_utilisation_penalty;
}

} // namespace dragonflywell::policy
