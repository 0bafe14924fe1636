#pragma once

#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "core/log_event.hpp"
#include "policy/outcome.hpp"
#include "servers/backend_exchange.hpp"

namespace dragonflywell::servers {

/// Data of a request for the log line at its end: its inputs, the servers it was sent to and the result.
struct request_record {
    std::string id;
    std::string route;
    std::string organisation;
    std::uint64_t configuration_version{};
    /// Age of the configuration when the request was accepted.
    duration configuration_age{};
    /// Age of the list of backend servers when a server was last chosen.
    std::optional<duration> servers_age;
    steady_time arrived_at{};
    /// When the head of the request arrived; earlier than `arrived_at` by the time that its body took.
    std::optional<steady_time> head_arrived_at;
    /// Backend servers that the request was sent to, in order, each with the result.
    std::string servers;
    /// The kinds of the connections that were used for them, in the same order.
    std::string connections;
    std::uint32_t sends{0};
    /// Expected time from arrival to the first event of the response, if it was estimated.
    std::optional<duration> expected_time_to_first_event;
    /// Time that a prefill engine took, if one was used: from sending the prompt to its response.
    std::optional<duration> prefill_time;
    std::optional<duration> time_to_first_event;
    unsigned status{0};

    /// Records a server that the request was sent to.
    void add_server(const backend_server_name& server, std::string_view what, connection_use connection) {
        servers += servers.empty() ? "" : " ";
        servers += server.value();
        servers += ":";
        servers += what;
        connections += connections.empty() ? "" : " ";
        connections += get_name(connection);
        ++sends;
    }
};

/// Returns the log event for the end of a request. `name` begins with "request_", because the log buffer drops such
/// lines last.
[[nodiscard]] inline log_event make_request_event(std::string_view name, const request_record& record,
                                                  steady_time now) {
    log_event event(name);
    event.add("id", record.id).add("route", record.route).add("organisation", record.organisation);
    event.add("configuration", record.configuration_version).add("status", record.status);
    event.add("configuration_age_ms", record.configuration_age);
    event.add("servers", record.servers).add("connections", record.connections);
    event.add("took_ms", now - record.arrived_at);
    if (record.servers_age) {
        event.add("servers_age_ms", *record.servers_age);
    }
    if (record.expected_time_to_first_event) {
        event.add("expected_first_ms", *record.expected_time_to_first_event);
    }
    if (record.prefill_time) {
        event.add("prefill_ms", *record.prefill_time);
    }
    if (record.time_to_first_event) {
        event.add("first_ms", *record.time_to_first_event);
    }
    return event;
}

} // namespace dragonflywell::servers
