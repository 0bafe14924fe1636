#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Weights that an engine has to load: of a model version, or of an adapter.
struct weight_load {
    backend_server_name engine;
    model_name model;
    std::string version;
    /// Empty if the model itself is loaded.
    std::string adapter;
    std::uint64_t bytes{};
    /// Whether the load is in progress already.
    bool is_running{false};

    friend bool operator==(const weight_load&, const weight_load&) = default;
};

struct weight_load_planner_options {
    /// Throughput of the weight store for all engines of the availability zone together.
    std::uint64_t store_bytes_per_second{};
    /// Maximum duration of a load. No load is started that would make the running loads together take longer than this.
    duration max_load_time{std::chrono::minutes(2)};
};

/// Returns the indices of the loads to start now, in the given order, so that all running loads together stay within
/// the throughput of the weight store. One load may always run. Thread safe.
[[nodiscard]] std::vector<std::size_t> plan_weight_loads(std::span<const weight_load> loads,
                                                         const weight_load_planner_options& options);

} // namespace dragonflywell::policy
