#pragma once

#include <set>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/identifiers.hpp"
#include "core/log.hpp"

namespace dragonflywell::daemon {

/// Bounds that the platform sets for the system.
struct host_bounds {
    /// How often a backend server renews its entry in the list.
    duration server_heartbeat{};
    /// After disturbances of this host end, how long until all bounds hold again.
    duration recovery{};
    /// From a backend server's notice that it leaves to the last request sent there.
    duration drain{};
    /// From the signal to stop to the end of the process.
    duration stop{};
    /// From the acceptance of a configuration to its being in force.
    duration configuration{};
    /// Within which holders of a duty must not take turns.
    duration lease{};
    double retries_per_request{};
    double base_retries{};
    duration retry_window{};
    duration usage_window{};
    /// From the end of a window to its report.
    duration usage_report{};

    friend bool operator==(const host_bounds&, const host_bounds&) = default;
};

/// Everything that a host of the platform reads from its settings file.
struct host_settings {
    host_name name;
    zone_name zone;
    std::string address;
    bool is_first_start{false};
    endpoint callers;
    endpoint ready;
    endpoint metrics;
    endpoint hosts;
    endpoint store;
    /// Where reports and orders for backend servers go; port 0 where there is none.
    endpoint orders;
    double order_calls_per_second{};
    std::set<std::string> duties;
    host_bounds bounds;
    log_options log;
};

/// Parses and checks a settings file. `file` is used in messages only. Throws `invalid_input_error` that lists every
/// problem with its line.
[[nodiscard]] host_settings parse_host_settings(std::string_view text, const std::string& file);

/// Returns whether a settings file is one for a host of the platform. Thread safe.
[[nodiscard]] bool is_host_settings(std::string_view text);

} // namespace dragonflywell::daemon
