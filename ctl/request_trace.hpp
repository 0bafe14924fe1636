#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/log_line.hpp"

namespace dragonflywell::ctl {

/// A backend server that a request was sent to, and what the logs say of it.
struct contacted_server {
    std::string name;
    /// What came of the exchange, as the host noted it.
    std::string result;
    /// What the request's host came to believe of the server around that time, in order.
    std::vector<log_line> changes;
    /// Other requests of all hosts around that time which were sent to it, and those of them that failed there.
    std::size_t others{0};
    std::size_t others_failed{0};
};

/// What the logs tell of one attempt of a request.
struct request_trace {
    /// The line with which it ended.
    log_line end;
    std::vector<contacted_server> servers;
    /// The line by which its configuration came into force on its host, where it is in the logs.
    std::optional<log_line> configuration;
    /// Dependencies that its host had lost and not regained when it ended.
    std::vector<log_line> lost;
    /// Starts, stops, reloads and the like of its host around that time.
    std::vector<log_line> host_events;
};

/// Returns the stories of all requests with that id, in order of time; mostly one, since each attempt has an id of its
/// own. `lines`: events of any number of hosts, in any order. Thread safe.
[[nodiscard]] std::vector<request_trace> find_request_traces(std::span<const log_line> lines, std::string_view id);

/// Returns a story as lines that a person reads. Thread safe.
[[nodiscard]] std::string format_request_trace(const request_trace& story);

} // namespace dragonflywell::ctl
