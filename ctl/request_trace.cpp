#include "ctl/request_trace.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <sstream>

namespace dragonflywell::ctl {

namespace {

/// Events up to this long before and after the end of a request are considered. It exceeds the time for which a host's
/// view of a server may be stale.
constexpr duration event_window = std::chrono::seconds(10);

constexpr std::string_view request_prefix = "request_";
/// Results of failed exchanges. All other results stand for a response; some of them are its status code.
constexpr std::array<std::string_view, 8> failed_results{"failed",       "refused",     "invalid",      "other_server",
                                                         "read_refused", "read_failed", "read_invalid", "caller_gone"};
/// First digit of the status codes for server errors.
constexpr char server_error_digit = '5';
constexpr std::array<std::string_view, 7> host_event_names{
    "start", "stopping", "stopped", "reload", "time_corrected", "settings_rejected", "configuration_rejected"};

struct server_exchange {
    std::string server;
    std::string result;
};

/// Parses the field `servers`, which lists names with results, such as "s0:read s3:failed".
std::vector<server_exchange> parse_exchanges(const log_line& line) {
    std::vector<server_exchange> exchanges;
    std::istringstream words(line.get_text("servers"));
    for (std::string word; words >> word;) {
        const std::size_t colon = word.rfind(':');
        if (colon != std::string::npos) {
            exchanges.push_back({.server = word.substr(0, colon), .result = word.substr(colon + 1)});
        }
    }
    return exchanges;
}

bool is_request_end(const log_line& line) {
    return line.event.starts_with(request_prefix) && line.fields.contains("took_ms");
}

bool is_within_window(const log_line& line, const log_line& end) {
    return line.moment >= end.moment - event_window && line.moment <= end.moment + event_window;
}

bool is_failure(const std::string& result) {
    return result.starts_with(server_error_digit) ||
           std::find(failed_results.begin(), failed_results.end(), result) != failed_results.end();
}

bool is_about_server(const log_line& line, const std::string& server) {
    return line.get_text("server") == server || line.get_text("engine") == server;
}

contacted_server collect_server_events(std::span<const log_line> lines, const log_line& end,
                                       const server_exchange& exchange) {
    contacted_server server{.name = exchange.server, .result = exchange.result, .events = {}};
    for (const log_line& line : lines) {
        if (!is_within_window(line, end)) {
            continue;
        }
        if (line.host == end.host && is_about_server(line, server.name)) {
            server.events.push_back(line);
        }
        if (!is_request_end(line) || line.get_text("id") == end.get_text("id")) {
            continue;
        }
        for (const server_exchange& other : parse_exchanges(line)) {
            if (other.server == server.name) {
                ++server.other_requests;
                server.other_failures += is_failure(other.result) ? 1 : 0;
            }
        }
    }
    return server;
}

std::vector<log_line> find_lost_dependencies(std::span<const log_line> lines, const log_line& end) {
    std::map<std::string, log_line> lost_dependencies;
    for (const log_line& line : lines) {
        if (line.host != end.host || line.moment > end.moment) {
            continue;
        }
        if (line.event == "dependency_lost") {
            lost_dependencies[line.get_text("what")] = line;
        }
        if (line.event == "dependency_regained") {
            lost_dependencies.erase(line.get_text("what"));
        }
        if (line.event == "start") {
            lost_dependencies.clear();
        }
    }
    std::vector<log_line> still_lost;
    still_lost.reserve(lost_dependencies.size());
    for (auto& [what, line] : lost_dependencies) {
        still_lost.push_back(std::move(line));
    }
    return still_lost;
}

request_trace make_trace(std::span<const log_line> lines, const log_line& end) {
    request_trace trace{.end = end,
                        .servers = {},
                        .configuration = {},
                        .lost_dependencies = find_lost_dependencies(lines, end),
                        .host_events = {}};
    for (const server_exchange& exchange : parse_exchanges(end)) {
        trace.servers.push_back(collect_server_events(lines, end, exchange));
    }
    for (const log_line& line : lines) {
        if (line.host != end.host) {
            continue;
        }
        const bool is_same_version = line.get_text("version") == end.get_text("configuration");
        if (line.event == "configuration_in_force" && is_same_version && line.moment <= end.moment) {
            trace.configuration = line;
        }
        const bool is_of_host =
            std::find(host_event_names.begin(), host_event_names.end(), line.event) != host_event_names.end();
        if (is_of_host && is_within_window(line, end)) {
            trace.host_events.push_back(line);
        }
    }
    return trace;
}

std::string_view explain_outcome(std::string_view outcome) {
    if (outcome == "not_run") {
        return "no backend server has run it, and none will";
    }
    if (outcome == "failed_after_start") {
        return "a backend server had started to run it";
    }
    return "whether it ran is not known";
}

/// Returns the fields of an event other than its name, time, host, level and part.
std::string format_details(const log_line& line) {
    std::string text;
    for (const auto& field : line.fields) {
        const std::string_view name(field.key().data(), field.key().size());
        if (name == "time" || name == "level" || name == "part" || name == "host" || name == "event") {
            continue;
        }
        text += fmt::format(" {}={}", name, line.get_text(name));
    }
    return text;
}

std::string format_events(std::span<const log_line> events, std::string_view indent) {
    std::string text;
    for (const log_line& event : events) {
        text += fmt::format("{}{} {}{}\n", indent, event.time, event.event, format_details(event));
    }
    return text;
}

std::string format_server(const contacted_server& server) {
    std::string text = fmt::format("  {}: {}", server.name, server.result);
    if (server.other_requests > 0) {
        text +=
            fmt::format("; of {} other requests sent there within {} s, {} failed", server.other_requests,
                        std::chrono::duration_cast<std::chrono::seconds>(event_window).count(), server.other_failures);
    }
    return text + "\n" + format_events(server.events, "    ");
}

std::string format_end(const log_line& end) {
    std::string text = fmt::format("{} {} on host {} at {}, after {} ms, status {}\n", end.get_text("id"),
                                   end.event.substr(request_prefix.size()), end.host, end.time, end.get_text("took_ms"),
                                   end.get_text("status"));
    text += fmt::format("route {}, organisation {}\n", end.get_text("route"), end.get_text("organisation"));
    if (end.fields.contains("reason")) {
        text += fmt::format("reason {}: {}; {}\n", end.get_text("reason"), end.get_text("what"),
                            explain_outcome(end.get_text("outcome")));
    }
    if (end.fields.contains("expected_first_ms")) {
        const std::string first = end.get_text("first_ms");
        text += fmt::format("first event expected after {} ms, received: {}\n", end.get_text("expected_first_ms"),
                            first.empty() ? "never" : first + " ms");
    }
    return text;
}

} // namespace

std::vector<request_trace> find_request_traces(std::span<const log_line> lines, std::string_view id) {
    std::vector<log_line> sorted(lines.begin(), lines.end());
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const log_line& left, const log_line& right) { return left.moment < right.moment; });
    std::vector<request_trace> traces;
    for (const log_line& line : sorted) {
        if (is_request_end(line) && line.get_text("id") == id) {
            traces.push_back(make_trace(sorted, line));
        }
    }
    return traces;
}

std::string format_request_trace(const request_trace& trace) {
    std::string text = format_end(trace.end);
    text += fmt::format("configuration {}", trace.end.get_text("configuration"));
    text += trace.configuration ? fmt::format(", in force on this host since {}\n", trace.configuration->time)
                                : ", in force since before the start of these logs\n";
    text += trace.servers.empty() ? "not sent to any backend server\n" : "sent to\n";
    for (const contacted_server& server : trace.servers) {
        text += format_server(server);
    }
    if (!trace.lost_dependencies.empty()) {
        text += "the host had lost\n" + format_events(trace.lost_dependencies, "  ");
    }
    if (!trace.host_events.empty()) {
        text += "events of the host\n" + format_events(trace.host_events, "  ");
    }
    return text;
}

} // namespace dragonflywell::ctl
