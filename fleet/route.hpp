#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// What may be done with a request whose outcome is unknown.
enum class retry_policy : std::uint8_t {
    /// It may run any number of times.
    idempotent,
    /// It may run once at most.
    at_most_once,
    /// Its answer is a stream that may run once at most.
    stream,
    /// Its answer is a stream that another backend server may go on with.
    resumable_stream,
};

[[nodiscard]] constexpr bool is_stream(retry_policy rule) noexcept {
    return rule == retry_policy::stream || rule == retry_policy::resumable_stream;
}

[[nodiscard]] constexpr bool may_run_again(retry_policy rule) noexcept {
    return rule == retry_policy::idempotent || rule == retry_policy::resumable_stream;
}

/// A service that takes part of a route's requests.
struct route_share {
    service_name service;
    /// Relative to the other shares of the route.
    std::uint32_t weight{1};

    friend bool operator==(const route_share&, const route_share&) = default;
};

/// Which requests go to which service, and under what terms. Immutable once in force.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    retry_policy retry{retry_policy::at_most_once};
    /// Not empty.
    std::vector<route_share> shares;
    /// Longest time that operators want a request kept waiting.
    duration timeout{};
    /// Time within which the first part of an answer is worth most.
    duration target_latency{};
    /// Longest pause within a stream that still counts as on time; zero where the route has none.
    duration target_gap{};
    /// Most backend servers that may run one request.
    std::uint32_t max_attempts{1};
    /// Rank among the routes; 0 is the most urgent.
    std::uint32_t priority{0};
    /// Whether requests need no key.
    bool is_public{false};
    /// Whether requests name the parts of their prompt.
    bool has_prompt_parts{false};

    friend bool operator==(const route&, const route&) = default;
};

} // namespace dragonflywell::fleet
