#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/claim_registry.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/identifiers.hpp"
#include "core/log.hpp"
#include "servers/entry_context.hpp"

namespace dragonflywell::daemon {

/// Everything that a daemon reads from its settings file.
struct daemon_settings {
    host_name host;
    zone_name zone;
    endpoint callers;
    endpoint operators;
    endpoint platform_log;
    /// Address of the platform's usage reporting; a host without it does not compete for the reporting lease.
    std::optional<endpoint> platform_usage;
    duration log_deadline{};
    /// How long the platform's log keeps a record.
    duration log_retention{};
    duration configuration_poll{};
    duration usage_flush{};
    /// Shortest time between two appends of claims.
    duration claim_interval{};
    coordination::claim_options claims;
    duration control_interval{};
    duration history_interval{};
    unsigned workers{};
    std::uint32_t header_limit_bytes{};
    std::uint64_t body_limit_bytes{};
    servers::request_limits limits;
    servers::admission_options admission;
    /// How long a graceful stop still accepts new requests after the readiness check fails, so that load balancers
    /// notice.
    duration stop_notice{};
    /// How long a graceful stop waits for running requests.
    duration stop_grace{};
    log_options log;
};

/// Parses and checks a settings file. `file` is used in messages only.
/// Throws `invalid_input_error` that lists every problem with file, line, key and permitted range.
[[nodiscard]] daemon_settings parse_daemon_settings(std::string_view text, const std::string& file);

} // namespace dragonflywell::daemon
