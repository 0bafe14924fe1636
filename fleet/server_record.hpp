#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// Part of the work on a generation that an engine takes.
enum class engine_stage : std::uint8_t {
    /// Reads prompts for other engines.
    prefill,
    /// Generates, and reads the prompts of its own requests slowly.
    decode,
};

[[nodiscard]] constexpr const char* get_stage_name(engine_stage stage) noexcept {
    return stage == engine_stage::prefill ? "prefill" : "decode";
}

/// What a backend server says of itself in the list of servers.
struct server_record {
    backend_server_name id;
    service_name service;
    endpoint address;
    zone_name zone;
    /// Requests that it runs at once.
    std::uint32_t slots{1};
    /// Announced its end: it takes no new work.
    bool is_draining{false};
    /// How much longer it is slow after its start.
    duration warmup_left{};
    /// Nothing for a plain service.
    std::optional<engine_stage> stage;
    /// May be reclaimed with all others of its zone.
    bool is_cheap{false};
    /// Time until it is reclaimed, where it says so.
    std::optional<duration> time_to_reclaim;
    /// When it started, in milliseconds since 1970; tells apart two lives under one id. Zero where it doesn't say.
    std::int64_t started_at_ms{0};

    friend bool operator==(const server_record&, const server_record&) = default;
};

} // namespace dragonflywell::fleet
