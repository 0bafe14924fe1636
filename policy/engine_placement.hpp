#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>

#include "policy/engine_load_tracker.hpp"
#include "policy/prefill_time_model.hpp"
#include "policy/server_speed_estimator.hpp"

namespace dragonflywell::policy {

/// Requirements of a generation, as input of the placement.
struct generation_requirements {
    std::uint64_t prompt_tokens{};
    std::uint64_t output_tokens{};
    std::span<const prefix_block> parts;
    /// Unique for each request of each host. It breaks ties between engines of nearly equal cost at random: hosts that
    /// decide at the same moment do not see each other's decision and would otherwise all choose the same engine.
    std::uint64_t seed{0};
    /// Priority class of the request; 0 is the most urgent.
    std::uint32_t priority{0};
    /// Time left until the deadline of the first event; empty if there is no deadline or it cannot be met any more.
    std::optional<duration> target;
};

/// Factors by which prompts have waited longer than the known backlog predicted: those that were expected to meet their
/// target, and the late ones behind them.
struct wait_factors {
    double in_time{1};
    double late{1};
};

/// Cost model of the engines of one service, from the service description and from observations.
struct engine_costs {
    const prefill_time_model* prefill_model{};
    /// Time from sending a prompt to an idle decode engine, which runs the prefill itself, to the first event.
    const prefill_time_model* decode_engine_model{};
    /// Time from the arrival of the prompt's KV cache at the decode engine to the first event.
    duration first_event{};
    /// Time to transfer the KV cache of one token between two engines of the same availability zone.
    duration transfer_per_token{};
    wait_factors prefill_engine_waits;
    wait_factors decode_engine_waits;
    /// Speeds of the engines of each stage; null if all count as equal.
    const server_speed_estimator* prefill_engine_speeds{nullptr};
    const server_speed_estimator* decode_engine_speeds{nullptr};
};

/// The engines chosen for one generation.
struct engine_choice {
    /// The engine that runs the prefill; empty if the decode engine does.
    std::optional<backend_server_name> prefill_engine;
    backend_server_name decode_engine;
    /// The engine from whose prefix cache the engine that runs the prefill first fetches the part of the prefix that it
    /// lacks; empty if it fetches nothing.
    std::optional<backend_server_name> prefix_source;
    /// The prefill work, and its expected duration from its start, including the fetch of the prefix. On a decode
    /// engine it includes the first event.
    prefill_work prefill;
    duration prefill_duration{};
    /// How long the prefill keeps the engine from starting the next one.
    duration prefill_occupancy{};
    /// The speed of the engine that was assumed in these times.
    double prefill_speed{1};
    /// How long the prompt waits for others at the engine as far as they are known, before any correction.
    duration known_wait{};
    /// Expected time from now to the first event.
    duration time_to_first_event{};
    /// Whether the first event is expected to meet the request's target.
    bool is_in_time{false};
    /// Urgency with which the request is sent to the engines, 0 (first) to 9 (last).
    std::uint32_t urgency{lowest_urgency};
};

/// Urgency with which a generation is sent to the engine that generates, 0 (first) to 9 (last). A prompt that has been
/// read goes before all that the engine still has to read itself: it needs a single step to its first event, and holds
/// memory until then. Without that the slow way of a prompt would make the fast one look slow, too, and draw all
/// prompts.
[[nodiscard]] constexpr std::uint32_t get_generation_urgency(const engine_choice& choice, bool is_prefilled) {
    return is_prefilled ? 0 : choice.urgency;
}

/// Whether an engine may be given work.
enum class engine_usability : std::uint8_t {
    /// It must not be given any work.
    unusable,
    /// It refused or failed a request recently; it is used only if no healthy engine can do the same work.
    degraded,
    healthy,
};

/// State of an engine that the load table does not hold.
struct engine_status {
    engine_usability usability{engine_usability::healthy};
    /// Load from hosts that do not report to this host because they are in another group: the expected wait of a
    /// prompt, and the share of the capacity in use. Both are zero for an engine of this host's own group.
    duration unobserved_backlog{};
    double unobserved_utilisation{0};
};

/// Returns the status of an engine.
using engine_status_lookup = std::function<engine_status(const backend_server_name&)>;

/// Returns the engines with the earliest expected first event, or nothing if no usable engine exists.
///
/// The prefill engine is the one expected to finish the prefill first, given its backlog, the prefix in its cache and
/// the prefix that it can fetch from another engine's cache, which takes a fraction of the time of computing it again.
/// The decode engine is the one with the lowest utilisation, relative to its speed. The decode engine runs the prefill
/// itself when the first event is expected earlier so: a short prompt while prefill engines are busy with long ones. A
/// request that can meet its target gets a higher urgency than all that cannot: under overload, serving in order of
/// arrival would make all of them late. Within each of the two groups, the priority class decides. Thread safe if
/// `tracker` is not changed meanwhile and `get_status` is thread safe.
[[nodiscard]] std::optional<engine_choice> choose_engines(const engine_load_tracker& tracker, const engine_costs& costs,
                                                          const generation_requirements& request,
                                                          const engine_status_lookup& get_status, steady_time now);

/// Returns the decode engine, or nothing if no usable one exists. `source_zone`: the availability zone that the KV
/// cache of the prompt is transferred from; engines of that zone are preferred. `speeds`: of decode engines; null if
/// all count as equal.
[[nodiscard]] std::optional<backend_server_name> choose_decode_engine(const engine_load_tracker& tracker,
                                                                      const generation_requirements& request,
                                                                      const zone_name& source_zone,
                                                                      const engine_status_lookup& get_status,
                                                                      const server_speed_estimator* speeds = nullptr);

/// Returns the load of an engine with the given number of running generations, as the speeds are learned by it: their
/// share of the slots of a decode engine. A prefill engine runs one prompt after another and has none.
[[nodiscard]] double get_engine_load(const engine_attributes& attributes, std::uint32_t running);

} // namespace dragonflywell::policy
