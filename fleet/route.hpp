#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// Whether and how a request may be retried if its outcome is unknown.
enum class retry_policy : std::uint8_t {
    /// The request may run any number of times.
    idempotent,
    /// The request may run at most once.
    at_most_once,
    /// The response is a stream, and the request may run at most once.
    stream,
    /// The response is a stream that another backend server may continue.
    resumable_stream,
};

[[nodiscard]] constexpr bool is_stream(retry_policy rule) noexcept {
    return rule == retry_policy::stream || rule == retry_policy::resumable_stream;
}

[[nodiscard]] constexpr bool may_run_again(retry_policy rule) noexcept {
    return rule == retry_policy::idempotent || rule == retry_policy::resumable_stream;
}

/// A service that serves a share of the requests of a route.
struct route_share {
    service_name service;
    /// Weight relative to the other shares of the route.
    std::uint32_t weight{1};

    friend bool operator==(const route_share&, const route_share&) = default;
};

/// Maps requests to services and sets the limits that apply to them. Immutable once it is part of the active
/// configuration.
struct route {
    std::string name;
    std::string host;
    /// Path prefix; it begins and ends with a slash.
    std::string path_prefix;
    retry_policy retry{retry_policy::at_most_once};
    /// At least one share.
    std::vector<route_share> shares;
    /// Maximum time that a request may wait for its response.
    duration timeout{};
    /// Target for the time to the first part of the response; a response that begins within it has its full value.
    duration target_latency{};
    /// Maximum pause between two events of a stream that counts as on time; zero if the route has no such target.
    duration target_gap{};
    /// Time without an event after which callers abandon a stream, also before its first event; zero if unknown.
    duration caller_patience{};
    /// Maximum number of backend servers on which one request may be tried.
    std::uint32_t max_attempts{1};
    /// Priority among the routes; 0 is the most urgent.
    std::uint32_t priority{0};
    /// Whether requests need no API key.
    bool is_public{false};
    /// Whether requests list the parts of their prompt.
    bool has_prompt_parts{false};

    friend bool operator==(const route&, const route&) = default;
};

} // namespace dragonflywell::fleet
