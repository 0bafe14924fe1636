#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/log_line.hpp"

namespace dragonflywell::ctl {

/// A backend server to which a request was sent, with related events from the logs.
struct contacted_server {
    std::string name;
    /// Result of the exchange, as the host logged it.
    std::string result;
    /// Events about the server that the request's host logged around that time, in order of time.
    std::vector<log_line> events;
    /// Number of other requests that all hosts sent to the server around that time, and how many of them failed there.
    std::size_t other_requests{0};
    std::size_t other_failures{0};
};

/// Everything that the logs contain about one attempt of a request.
struct request_trace {
    /// The event that ends the request.
    log_line end;
    std::vector<contacted_server> servers;
    /// The event by which the request's configuration took effect on its host; empty when it precedes the logs.
    std::optional<log_line> configuration;
    /// Dependencies that were unreachable from the host when the request ended.
    std::vector<log_line> lost_dependencies;
    /// Starts, stops, reloads and similar events of the host around that time.
    std::vector<log_line> host_events;
};

/// Returns a trace for each request with that id, in order of time. There is usually one, because each attempt has its
/// own id. `lines` contains the events of any number of hosts in any order. Thread safe.
[[nodiscard]] std::vector<request_trace> find_request_traces(std::span<const log_line> lines, std::string_view id);

/// Formats a trace as human-readable text. Thread safe.
[[nodiscard]] std::string format_request_trace(const request_trace& trace);

} // namespace dragonflywell::ctl
