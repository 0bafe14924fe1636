#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// Properties that all engines of a service share.
struct engine_description {
    /// Number of requests that an engine runs at once.
    std::uint32_t slots{1};
    /// Capacity of an engine's KV cache, in tokens.
    std::uint64_t kv_capacity_tokens{0};
    /// Size of one token in the KV cache, in bytes; determines the time of transfers between engines.
    std::uint64_t kv_bytes_per_token{0};
    double link_megabits_per_second{0};
    /// How long a prefill engine keeps the KV cache of a prompt for the engine that generates.
    duration kv_handle_lifetime{};
    /// How long an engine is unavailable while it changes its stage.
    duration stage_change_time{};
    /// Maximum time for which the KV cache of a finished request may be pinned.
    duration max_pin_time{};
    /// Number of tokens in one event of a stream.
    std::uint32_t tokens_per_event{1};
    /// Whether a running generation can be moved to another engine, and whether it can be backed up on another one.
    bool can_move_runs{false};
    bool can_back_up_runs{false};

    friend bool operator==(const engine_description&, const engine_description&) = default;
};

/// Limits and prices for scaling the backend servers of a service.
struct scaling_description {
    /// Minimum and maximum number of servers in each availability zone, regular and cheap ones together.
    std::uint32_t min_servers{0};
    std::uint32_t max_servers{0};
    /// Time from ordering servers until they serve.
    duration lead_time{};
    /// Price of a cheap server relative to a regular one; absent if the platform offers no cheap servers.
    std::optional<double> cheap_price;
    std::map<zone_name, double> zone_prices;

    friend bool operator==(const scaling_description&, const scaling_description&) = default;
};

/// A service that is the target of routes. Immutable once it is part of the active configuration.
struct service_description {
    service_name name;
    std::string health_path;
    /// Maximum number of connections that one backend server accepts from all hosts together.
    std::uint32_t max_connections{0};
    std::optional<engine_description> engine;
    std::optional<scaling_description> scaling;

    friend bool operator==(const service_description&, const service_description&) = default;
};

} // namespace dragonflywell::fleet
