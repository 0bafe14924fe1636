#include "daemon/caller_limit_settings.hpp"

#include <algorithm>
#include <sys/resource.h>

#include "daemon/environment_number.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr std::size_t bytes_per_megabyte = 1024UL * 1024;
/// A host with 120 MB gets 24 MB for callers and 20 MB for responses; the process without load holds 11 MB, and the
/// rest is for the state of a large fleet.
constexpr std::size_t caller_part = 5;
constexpr std::size_t response_part = 6;
/// Room for a request with a body of 4 MiB that runs, besides others.
constexpr std::size_t min_caller_bytes = 20UL * bytes_per_megabyte;
/// Room for the longest response that is passed on.
constexpr std::size_t min_response_bytes = 17UL * bytes_per_megabyte;
constexpr std::size_t max_response_bytes = 32UL * bytes_per_megabyte;
/// Part of the descriptors that is kept for backend servers, the store, readiness and metrics.
constexpr std::uint64_t reserved_descriptor_part = 3;
/// Descriptors that the process itself has: listeners, event loop, standard streams, and the two probe addresses.
constexpr std::uint64_t own_descriptors = 24;
constexpr std::size_t max_probe_connections = 32;

std::uint64_t get_process_descriptors() {
    rlimit limit{};
    constexpr std::uint64_t fallback = 1024;
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : fallback;
}

} // namespace

policy::caller_limiter_options caller_limit_settings::get_caller_limits() const {
    const std::uint64_t descriptors =
        max_descriptors == 0 ? get_process_descriptors() : std::min(max_descriptors, get_process_descriptors());
    const std::uint64_t probes = 2 * max_probe_connections;
    const std::uint64_t kept = std::max(descriptors / reserved_descriptor_part, own_descriptors + probes);
    return {.budget_bytes = std::max(memory_mb * bytes_per_megabyte / caller_part, min_caller_bytes),
            .max_connections = descriptors - std::min(kept, descriptors - 1)};
}

std::size_t caller_limit_settings::get_response_bytes() const {
    return std::clamp(memory_mb * bytes_per_megabyte / response_part, min_response_bytes, max_response_bytes);
}

policy::caller_limiter_options get_probe_limits() {
    constexpr std::size_t probe_bytes = 1024UL * 1024;
    return {.budget_bytes = probe_bytes, .max_connections = max_probe_connections, .may_close_running = true};
}

caller_limit_settings read_caller_limits_from_environment() {
    constexpr number_range memory_range{.min = 32, .max = 1'048'576};
    constexpr number_range descriptor_range{.min = 128, .max = 1'048'576};
    caller_limit_settings settings;
    // Fractions are cut off.
    if (const auto memory = read_number_from_environment("HOST_MEMORY_MB", memory_range)) {
        settings.memory_mb = static_cast<std::uint64_t>(*memory);
    }
    if (const auto descriptors = read_number_from_environment("HOST_MAX_DESCRIPTORS", descriptor_range)) {
        settings.max_descriptors = static_cast<std::uint64_t>(*descriptors);
    }
    return settings;
}

} // namespace dragonflywell::daemon
