#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>

#include "policy/engine_load_tracker.hpp"
#include "policy/prefill_time_model.hpp"

namespace dragonflywell::policy {

/// A generation that is to be placed.
struct generation_requirements {
    std::uint64_t prompt_tokens{};
    std::uint64_t output_tokens{};
    std::span<const prefix_block> parts;
    /// Differs for each request of each host. Hosts that decide at the same moment do not know of each other's
    /// decision; engines that are about as good are told apart by chance, so that they do not all choose the same one.
    std::uint64_t seed{0};
    /// Rank among the requests; 0 is the most urgent.
    std::uint32_t priority{0};
    /// Time that is left until the first event is late; nothing where it can't be in time, or need not.
    std::optional<duration> target;
};

/// How the engines of a service behave, as described and observed.
struct engine_costs {
    const prefill_time_model* prefill_model{};
    /// Time from the hand-over of a prompt to the first event.
    duration first_event{};
    /// Time to move the memory of one token between engines of one zone.
    duration transfer_per_token{};
    /// How much longer an engine that generates takes to read a prompt by itself.
    double decode_engine_prefill_factor{2.5};
};

/// Where a generation goes.
struct engine_choice {
    /// The engine that reads the prompt; nothing where the one that generates does it.
    std::optional<backend_server_name> prefill_engine;
    backend_server_name decode_engine;
    /// The engine from which the reader first fetches what it lacks of the beginning; nothing where it has the most.
    std::optional<backend_server_name> prefix_source;
    /// What the reader has to do, and how long it should take once begun, with the fetch.
    prefill_work prefill;
    duration prefill_duration{};
    /// When the first event should come, from now.
    duration time_to_first_event{};
    /// Whether that is before the target.
    bool is_in_time{false};
    /// Urgency under which the engines should take it, 0 to 9.
    std::uint32_t urgency{lowest_urgency};
};

/// How ready an engine is for work.
enum class engine_usability : std::uint8_t {
    /// It must not be given any.
    unusable,
    /// It refused or failed lately; it is used only where no other engine can do the same work.
    degraded,
    healthy,
};

/// What is known of an engine beside its board.
struct engine_status {
    engine_usability usability{engine_usability::healthy};
    /// Work of hosts that this one does not hear: how long a prompt waits there, and what part of the room is in use.
    /// Both are zero for an engine of this host's group.
    duration unobserved_backlog{};
    double unobserved_utilisation{0};
};

/// Answers what is known of an engine.
using engine_status_lookup = std::function<engine_status(const backend_server_name&)>;

/// Returns the engines with which the first event should come soonest, or nothing when no engine may be used.
///
/// The reader is the one that is done first, counting what waits there, what it has cached and what it can fetch from
/// another engine's cache, which takes a fraction of the time of reading it again; the generator is the one
/// that is least full. A request that can be in time goes before all that can't: under a load beyond the fleet, serving
/// in order of arrival would make all of them late. Among those, the more urgent rank goes first. Thread safe.
[[nodiscard]] std::optional<engine_choice> choose_engines(const engine_load_tracker& board, const engine_costs& costs,
                                                          const generation_requirements& request,
                                                          const zone_name& own_zone, const engine_status_lookup& judge,
                                                          steady_time now);

/// Returns the engine that should generate, or nothing. `near`: the zone that the prompt's memory comes from.
[[nodiscard]] std::optional<backend_server_name> choose_decode_engine(const engine_load_tracker& board,
                                                                      const generation_requirements& request,
                                                                      const zone_name& near,
                                                                      const engine_status_lookup& judge);

} // namespace dragonflywell::policy
