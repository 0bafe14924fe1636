#pragma once

#include <set>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/identifiers.hpp"
#include "core/log.hpp"
#include "daemon/caller_limit_settings.hpp"
#include "policy/group_leadership.hpp"
#include "policy/quota_limit.hpp"

namespace dragonflywell::daemon {

/// Time bounds and retry limits that the platform requires of the system.
struct host_bounds {
    /// Interval at which a backend server renews its entry in the list.
    duration server_heartbeat{};
    /// Longest time from the end of a disturbance of this host until all bounds hold again.
    duration recovery{};
    /// Longest time from a backend server's notice that it drains to the last request sent to it.
    duration drain{};
    /// Longest time from the stop signal to the end of the process.
    duration stop{};
    /// Longest time from the acceptance of a configuration by the store until it is in force.
    duration configuration{};
    /// Shortest time between actions of two different lease holders.
    duration lease{};
    /// Retry budget: retries per request, plus a constant number of retries in each window.
    double retries_per_request{};
    double base_retries{};
    duration retry_window{};
    duration usage_window{};
    /// Longest time from the end of a window to its report.
    duration usage_report{};

    friend bool operator==(const host_bounds&, const host_bounds&) = default;
};

/// Link and processor of a host whose settings do not state them.
constexpr policy::host_capacity default_capacity{.link_bytes_per_second = 12'500'000, .core_thousandths = 1000};

/// All settings of a host of the platform.
struct host_settings {
    host_name name;
    zone_name zone;
    std::string address;
    bool is_first_start{false};
    /// What the network link and the processor of the host carry.
    policy::host_capacity capacity{default_capacity};
    /// Not from the file: memory and descriptors of the host, from the environment.
    caller_limit_settings caller_limits;
    endpoint callers;
    endpoint ready;
    endpoint metrics;
    endpoint hosts;
    endpoint store;
    /// Address for usage reports and orders of backend servers; port 0 when there is none.
    endpoint orders;
    double order_calls_per_second{};
    std::set<std::string> duties;
    host_bounds bounds;
    /// By how much the usage of an organisation may exceed its quota; from the environment.
    policy::quota_tolerance quota_tolerance;
    log_options log;
    /// Whether requests are placed by the learned speeds of servers. From the environment, not from the file.
    bool learns_server_speeds{true};
};

/// Parses and validates a settings file. `file` is used in messages only. `fallback` is the capacity that counts if the
/// file states none. Throws `invalid_input_error` that lists every problem with its line.
[[nodiscard]] host_settings parse_host_settings(std::string_view text, const std::string& file,
                                                const policy::host_capacity& fallback = default_capacity);

/// Returns the capacity in the environment variables `HOST_LINK_MBPS` and `HOST_CPU_SHARE`, and the default for those
/// that are missing or empty. Throws `invalid_input_error` for other values than numbers in their range.
[[nodiscard]] policy::host_capacity read_capacity_from_environment();

/// Returns whether the text is the settings file of a `host_daemon`. Thread safe.
[[nodiscard]] bool is_host_settings(std::string_view text);

} // namespace dragonflywell::daemon
