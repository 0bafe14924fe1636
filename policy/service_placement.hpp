#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// An instance of a plain service that could take a request.
struct service_candidate {
    backend_server_name server;
    std::uint32_t slots{1};
    /// Number of requests in flight on it, from all hosts, as far as known.
    std::uint32_t in_flight{0};
    bool is_own_zone{false};
    bool is_cold{false};
    /// Whether it was not confirmed lately that it takes new work.
    bool is_uncertain{false};
    /// Share of its recent exchanges that failed, 0 to 1.
    double failure_share{0};
    /// Its speed relative to the other instances, at the load that it would have with the request.
    double speed{1};
};

/// Returns the index of the instance with the lowest cost, or nothing if there are no candidates. The cost is the load
/// per slot divided by the speed, plus penalties for a slow instance, another availability zone, a cold start, an
/// uncertain state, and recent failures. Thread safe.
[[nodiscard]] std::optional<std::size_t> choose_instance(std::span<const service_candidate> candidates);

} // namespace dragonflywell::policy
