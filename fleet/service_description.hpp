#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// What the engines of a service have in common.
struct engine_description {
    /// Requests that run at once.
    std::uint32_t slots{1};
    /// Tokens that an engine's memory holds.
    std::uint64_t kv_capacity_tokens{0};
    /// Bytes of memory of one token, for transfers between engines.
    std::uint64_t kv_bytes_per_token{0};
    double link_megabits_per_second{0};
    /// How long the memory of a prompt that was read is kept for the engine that generates.
    duration kv_handle_lifetime{};
    /// How long an engine is away when it changes its stage.
    duration stage_change_time{};
    /// Longest time for which the memory of a finished request may be kept.
    duration max_pin_time{};
    /// Tokens that come with one event of a stream.
    std::uint32_t tokens_per_event{1};
    bool can_move_runs{false};
    bool can_back_up_runs{false};

    friend bool operator==(const engine_description&, const engine_description&) = default;
};

/// Within which bounds backend servers of a service may be ordered.
struct scaling_description {
    /// For each availability zone; regular and cheap servers together.
    std::uint32_t min_servers{0};
    std::uint32_t max_servers{0};
    /// From an order to servers that serve.
    duration lead_time{};
    /// Price of a cheap server relative to a regular one; nothing where there are no cheap ones.
    std::optional<double> cheap_price;
    std::map<zone_name, double> zone_prices;

    friend bool operator==(const scaling_description&, const scaling_description&) = default;
};

/// A service that routes lead to. Immutable once in force.
struct service_description {
    service_name name;
    std::string health_path;
    /// Connections that one backend server takes from all hosts together.
    std::uint32_t max_connections{0};
    std::optional<engine_description> engine;
    std::optional<scaling_description> scaling;

    friend bool operator==(const service_description&, const service_description&) = default;
};

} // namespace dragonflywell::fleet
