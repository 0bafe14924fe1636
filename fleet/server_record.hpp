#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// The stage of a generation that an engine performs.
enum class engine_stage : std::uint8_t {
    /// Computes the prefill of prompts for other engines.
    prefill,
    /// Generates tokens. It also computes the prefill of its own requests, but slowly.
    decode,
};

[[nodiscard]] constexpr const char* get_stage_name(engine_stage stage) noexcept {
    return stage == engine_stage::prefill ? "prefill" : "decode";
}

/// The entry of a backend server in the list of servers, as the server itself writes it.
struct server_record {
    backend_server_name id;
    service_name service;
    endpoint address;
    zone_name zone;
    /// Number of requests that it runs at once.
    std::uint32_t slots{1};
    /// Whether it has announced its shutdown; it then accepts no new work.
    bool is_draining{false};
    /// Remaining warm-up time during which it is slower than usual.
    duration warmup_left{};
    /// Stage of an engine; absent for a plain service.
    std::optional<engine_stage> stage;
    /// Whether it is a cheap (spot) server, which may be reclaimed together with all others of its zone.
    bool is_cheap{false};
    /// Time until it is reclaimed, if the entry states it.
    std::optional<duration> time_to_reclaim;
    /// Start time in milliseconds since 1970. It distinguishes two runs of a server under the same id. Zero if the
    /// entry does not state it.
    std::int64_t started_at_ms{0};

    friend bool operator==(const server_record&, const server_record&) = default;
};

} // namespace dragonflywell::fleet
