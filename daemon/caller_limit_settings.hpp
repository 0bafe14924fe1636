#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/caller_limiter.hpp"

namespace dragonflywell::daemon {

/// Memory and descriptors of a host, and what callers get of them.
struct caller_limit_settings {
    /// Default for a host whose platform does not state its memory.
    static constexpr std::uint64_t default_memory_mb = 512;

    std::uint64_t memory_mb{default_memory_mb};
    /// 0 stands for the limit of the process.
    std::uint64_t max_descriptors{0};

    /// What callers may make the process hold, and how many connections they may have.
    [[nodiscard]] policy::caller_limiter_options get_caller_limits() const;
    /// Limit on the bytes of buffered responses over all requests.
    [[nodiscard]] std::size_t get_response_bytes() const;
};

/// Limits of an address that answers small requests without a body: readiness and metrics.
[[nodiscard]] policy::caller_limiter_options get_probe_limits();

/// Returns the settings in the environment variables `HOST_MEMORY_MB` and `HOST_MAX_DESCRIPTORS`, and the default for
/// those that are missing or empty. Throws `invalid_input_error` for other values than numbers in their range.
[[nodiscard]] caller_limit_settings read_caller_limits_from_environment();

} // namespace dragonflywell::daemon
