#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "fleet/server_record.hpp"

namespace dragonflywell::policy {

/// An engine as the plan of stages sees it.
struct staged_engine {
    backend_server_name name;
    zone_name zone;
    fleet::engine_stage stage{fleet::engine_stage::decode};
    bool is_cheap{false};
    std::uint32_t slots{1};
    /// An order to it is on its way, or it is changing its stage.
    bool is_changing{false};
};

/// What generations ask of the engines of a service.
struct stage_demand {
    /// Requests that generate at once, at the height of the last while.
    double running{0};
    /// Whether the service has never had a request, so that no change disturbs any.
    bool is_before_first_request{false};
};

struct stage_plan_options {
    /// Part of its slots up to which an engine that generates is filled, so that pauses within streams stay short.
    double decode_fill{0.3};
    /// Engines that generate beyond what the demand needs, as a share of those, so that losing the engines of one zone
    /// out of four costs no service.
    double spare_share{0.34};
    /// The same, as a number.
    std::uint32_t spare_decode_engines{1};
    std::uint32_t min_decode_engines{3};
    /// Part of the engines that generate while no request has shown yet what is asked for. An engine that changes its
    /// stage is away for seconds, just when the first requests find all memories empty.
    double initial_decode_share{0.25};
    /// Part of a service's engines that may be changing their stage at once while requests run.
    double max_changing_share{0.25};
};

/// A change of an engine's stage.
struct stage_change {
    backend_server_name engine;
    fleet::engine_stage stage{fleet::engine_stage::decode};

    friend bool operator==(const stage_change&, const stage_change&) = default;
};

/// Returns how many engines should generate, spare ones included. Thread safe.
[[nodiscard]] std::uint32_t count_decode_engines(double slots_per_engine, const stage_demand& demand,
                                                 const stage_plan_options& options);

/// Returns the running requests to plan for before the first one came. Thread safe.
[[nodiscard]] double assume_initial_running(std::size_t engines, double slots_per_engine,
                                            const stage_plan_options& options);

/// Returns the mean slots of engines. Precondition: there is one. Thread safe.
[[nodiscard]] double get_mean_slots(std::span<const staged_engine> engines);

/// Returns the changes to order now. An answer is late when its prompt waits, so every engine that is not needed to
/// generate reads prompts. Regular engines generate, over all zones, because a run that is cut off may not be repeated;
/// cheap ones read. Answers the load of long prompts with short answers. Thread safe.
[[nodiscard]] std::vector<stage_change> plan_stages(std::span<const staged_engine> engines, const stage_demand& demand,
                                                    const stage_plan_options& options);

} // namespace dragonflywell::policy
