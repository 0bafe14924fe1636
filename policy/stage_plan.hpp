#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "fleet/server_record.hpp"

namespace dragonflywell::policy {

/// State of one engine, as input of the stage plan.
struct staged_engine {
    backend_server_name name;
    zone_name zone;
    fleet::engine_stage stage{fleet::engine_stage::decode};
    bool is_cheap{false};
    std::uint32_t slots{1};
    /// Whether it was ordered to change its stage, or is changing it.
    bool is_changing{false};
};

/// Decode load of a service.
struct stage_demand {
    /// Recent peak of the number of concurrently decoding requests.
    double running{0};
    /// Number of engines that the prefill work at its recent peak would keep fully busy; empty while it is unknown.
    std::optional<double> prefill_engines;
    /// Whether the service has not had a request yet, so that a change interrupts none.
    bool is_before_first_request{false};
};

struct stage_plan_options {
    /// Share of the slots of a decode engine that is planned to be used, so that the time between tokens stays short.
    double decode_fill{0.5};
    /// Share of the slots up to which decode engines are used if prefills need the other engines.
    double max_decode_fill{0.5};
    /// Utilisation of prefill engines up to which they leave engines for a lower fill of decode engines. A prompt that
    /// waits for its prefill delays the whole response, a fuller decode engine only lengthens its pauses.
    double prefill_utilisation{0.3};
    /// Spare decode engines as a share of those that the demand needs, so that the loss of one zone out of four causes
    /// no refusals.
    double spare_share{0.34};
    /// Number of spare decode engines in addition to the share.
    std::uint32_t spare_decode_engines{1};
    std::uint32_t min_decode_engines{3};
    /// Share of decode engines before the first request. A realistic share avoids changes when the first requests
    /// arrive: an engine that changes its stage is unavailable for seconds, while all prefix caches are still empty.
    double initial_decode_share{0.25};
    /// Maximum share of a service's engines that change their stage at once while requests run.
    double max_changing_share{0.25};
};

/// A change of an engine's stage.
struct stage_change {
    backend_server_name engine;
    fleet::engine_stage stage{fleet::engine_stage::decode};

    friend bool operator==(const stage_change&, const stage_change&) = default;
};

/// Returns the number of decode engines that the demand needs, including spare ones. Thread safe.
[[nodiscard]] std::uint32_t count_decode_engines(double slots_per_engine, const stage_demand& demand,
                                                 const stage_plan_options& options);

/// Returns how many of a number of engines are to decode: as many as the planned fill asks for, but beyond the largest
/// fill only as far as prefills leave engines. Thread safe.
[[nodiscard]] std::size_t split_engines(std::size_t engines, double slots_per_engine, const stage_demand& demand,
                                        const stage_plan_options& options);

/// Returns the number of decoding requests to plan for before the first request arrives. Thread safe.
[[nodiscard]] double assume_initial_running(std::size_t engines, double slots_per_engine,
                                            const stage_plan_options& options);

/// Returns the mean number of slots of the engines. Precondition: `engines` is not empty. Thread safe.
[[nodiscard]] double get_mean_slots(std::span<const staged_engine> engines);

/// Returns the stage changes to order now. All engines that are not needed for decoding run prefills, because an answer
/// is late when its prompt has to wait; this suits loads of long prompts with short answers. Regular engines of all
/// zones are preferred for decoding, because a generation that is cut off may not be repeated; cheap engines are
/// preferred for prefills. Thread safe.
[[nodiscard]] std::vector<stage_change> plan_stages(std::span<const staged_engine> engines, const stage_demand& demand,
                                                    const stage_plan_options& options);

} // namespace dragonflywell::policy
