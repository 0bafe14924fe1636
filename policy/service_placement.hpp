#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// An instance of a plain service that may take a request.
struct service_candidate {
    backend_server_name server;
    std::uint32_t slots{1};
    /// Requests of all hosts that are known to be on it.
    std::uint32_t in_flight{0};
    bool is_own_zone{false};
    bool is_cold{false};
    /// Share of its recent answers that failed, 0 to 1.
    double failure_share{0};
};

/// Returns the index of the instance that should answer soonest, or nothing when there is none. Instances with a free
/// slot are better the nearer they are; beyond that the shortest queue decides. Thread safe.
[[nodiscard]] std::optional<std::size_t> choose_instance(std::span<const service_candidate> candidates);

} // namespace dragonflywell::policy
