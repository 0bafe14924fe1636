#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// What an engine must load: a model, one of its versions, or an adapter.
struct weight_load {
    backend_server_name engine;
    model_name model;
    std::string version;
    /// Empty when the model itself is loaded.
    std::string adapter;
    std::uint64_t bytes{};
    /// Whether it is under way already.
    bool is_running{false};

    friend bool operator==(const weight_load&, const weight_load&) = default;
};

struct weight_load_planner_options {
    /// What the weight store gives in a second, to all engines of the availability zone together.
    std::uint64_t store_bytes_per_second{};
    /// Longest time that a load may take; loads are not started that would make all of them slower than this.
    duration max_load_time{std::chrono::minutes(2)};
};

/// Returns the indices of the loads to start now, in the order given, so that all running ones together stay within
/// the weight store's rate. One load may always run. Pure and thread safe.
[[nodiscard]] std::vector<std::size_t> plan_weight_loads(std::span<const weight_load> loads,
                                                         const weight_load_planner_options& options);

} // namespace dragonflywell::policy
