#include <doctest/doctest.h>

#include "ctl/request_trace.hpp"

using namespace dragonflywell::ctl;

namespace {

/// Logs of two hosts. Host h1 sent request c1-7 to server s7, which had just been added, and h1 could not read the
/// store.
constexpr const char* logs =
    R"({"time":"2026-12-04T11:03:30.000Z","host":"h1","event":"configuration_in_force","version":4}
{"time":"2026-12-04T11:03:40.500Z","host":"h1","event":"dependency_lost","what":"configuration","reason":"no answer"}
{"time":"2026-12-04T11:03:42.491Z","host":"h1","event":"server_changed","server":"s7","change":"added"}
{"time":"2026-12-04T11:03:43.000Z","host":"h2","event":"request_failed","id":"c2-1","servers":"s7:failed","took_ms":9.0}
{"time":"2026-12-04T11:03:44.000Z","host":"h2","event":"request_answered","id":"c2-2","servers":"s7:200","took_ms":9.0}
collector-prefix {"time":"2026-12-04T11:03:45.573Z","host":"h1","event":"request_failed","id":"c1-7","route":"once",)"
    R"("organisation":"org1","configuration":4,"status":504,"servers":"s7:failed","took_ms":3004.1,)"
    R"("reason":"deadline_exceeded","outcome":"unknown","what":"the time ran out"}
{"time":"2026-12-04T11:05:00.000Z","host":"h1","event":"server_changed","server":"s7","change":"removed"}
not an event
{"time":"2026-12-04T11:05:00.000Z","host":"h1"}
{"time":"soon","host":"h1","event":"start"}
)";

request_trace get_trace(const std::string& id) {
    const std::vector<log_line> lines = parse_log(logs);
    const std::vector<request_trace> traces = find_request_traces(lines, id);
    REQUIRE(traces.size() == 1);
    return traces.front();
}

} // namespace

TEST_CASE("lines without an event are skipped") {
    CHECK(parse_log(logs).size() == 7);
    CHECK_FALSE(parse_log_line("{\"event\":\"start\"").has_value());
    CHECK(parse_log("").empty());
}

TEST_CASE("times are parsed with their fraction of a second") {
    const auto early = parse_log_line(R"({"time":"2026-12-04T11:03:45.573Z","event":"a"})");
    const auto late = parse_log_line(R"({"time":"2026-12-04T11:03:46Z","event":"a"})");
    REQUIRE(early.has_value());
    REQUIRE(late.has_value());
    CHECK(late->moment - early->moment == std::chrono::milliseconds(427));
}

TEST_CASE("a trace lists the servers of a request and how many other requests failed there") {
    const request_trace trace = get_trace("c1-7");
    REQUIRE(trace.servers.size() == 1);
    const contacted_server& server = trace.servers.front();
    CHECK(server.name == "s7");
    CHECK(server.result == "failed");
    CHECK(server.other_requests == 2);
    CHECK(server.other_failures == 1);
    // The removal of the server more than a minute later is outside of the time window.
    REQUIRE(server.events.size() == 1);
    CHECK(server.events.front().get_text("change") == "added");
}

TEST_CASE("a trace lists the configuration of the host and its lost dependencies") {
    const request_trace trace = get_trace("c1-7");
    REQUIRE(trace.configuration.has_value());
    CHECK(trace.configuration->time == "2026-12-04T11:03:30.000Z");
    REQUIRE(trace.lost_dependencies.size() == 1);
    CHECK(trace.lost_dependencies.front().get_text("what") == "configuration");
    CHECK(get_trace("c2-1").lost_dependencies.empty());
}

TEST_CASE("the text of a trace begins with the end of the request and then lists the causes") {
    const std::string text = format_request_trace(get_trace("c1-7"));
    CHECK(text.starts_with("c1-7 failed on host h1 at 2026-12-04T11:03:45.573Z, after 3004.1 ms, status 504\n"));
    CHECK(text.find("reason deadline_exceeded: the time ran out; whether it ran is not known\n") != std::string::npos);
    CHECK(text.find("configuration 4, in force on this host since 2026-12-04T11:03:30.000Z\n") != std::string::npos);
    CHECK(text.find("  s7: failed; of 2 other requests sent there within 10 s, 1 failed\n") != std::string::npos);
    CHECK(text.find("the host had lost\n") != std::string::npos);
}

TEST_CASE("an id without an end of a request has no trace") {
    const std::vector<log_line> lines = parse_log(logs);
    CHECK(find_request_traces(lines, "c9-9").empty());
}
