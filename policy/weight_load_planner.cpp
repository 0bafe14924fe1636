#include "policy/weight_load_planner.hpp"

namespace dragonflywell::policy {

std::vector<std::size_t> plan_weight_loads(std::span<const weight_load> loads,
                                           const weight_load_planner_options& options) {
    const double seconds = std::chrono::duration<double>(options.max_load_time).count();
    const auto budget = static_cast<std::uint64_t>(static_cast<double>(options.store_bytes_per_second) * seconds);
    std::uint64_t loading_bytes = 0;
    bool is_any_running = false;
    for (const weight_load& load : loads) {
        if (load.is_running) {
            loading_bytes += load.bytes;
            is_any_running = true;
        }
    }
    std::vector<std::size_t> started;
    for (std::size_t index = 0; index < loads.size(); ++index) {
        const weight_load& load = loads[index];
        if (load.is_running) {
            continue;
        }
        if (is_any_running && loading_bytes + load.bytes > budget) {
            // Later, smaller loads do not overtake, so that a large load does not starve.
            break;
        }
        loading_bytes += load.bytes;
        is_any_running = true;
        started.push_back(index);
    }
    return started;
}

} // namespace dragonflywell::policy
