#pragma once

#include <cstdint>
#include <functional>

#include "core/clock.hpp"
#include "policy/engine_load_tracker.hpp"
#include "policy/engine_placement.hpp"

namespace dragonflywell::policy {

/// Load of the engines of one group of hosts for one service, as its leader tells it to other groups.
struct group_load {
    /// Average time that a prompt waits at a prefill engine.
    duration backlog{};
    /// Share of the slots of the decode engines in use, 0 to 1 and above.
    double utilisation{0};
    /// Number of requests that are generating.
    std::uint32_t running{0};

    friend bool operator==(const group_load&, const group_load&) = default;
};

/// Returns how many requests generate on an engine. A prompt that a decode engine still has to read is counted as
/// running on it, because it will take a slot, but it does not generate yet. Thread safe if `tracker` is not changed
/// meanwhile.
[[nodiscard]] std::uint32_t count_generating(const engine_load_tracker& tracker, const backend_server_name& engine,
                                             fleet::engine_stage stage);

/// Returns the load of those engines that `is_counted` accepts. Thread safe if `tracker` is not changed meanwhile.
[[nodiscard]] group_load get_group_load(const engine_load_tracker& tracker,
                                        const std::function<bool(const backend_server_name&)>& is_counted,
                                        steady_time now);

/// Returns the load that is assumed of a group that has sent none lately. Thread safe.
[[nodiscard]] group_load get_unknown_group_load();

/// Adds to the status of an engine of another group what is assumed of it: the load of its group, and a penalty because
/// nothing is known of the engine itself. A hash of the engine and `prompt_key` spreads different prompts over the
/// engines and keeps equal prompts on the same ones, whose prefix cache then holds them. Thread safe.
void add_remote_load(engine_status& status, const group_load& load, const backend_server_name& engine,
                     std::uint64_t prompt_key);

} // namespace dragonflywell::policy
