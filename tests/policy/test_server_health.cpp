#include <doctest/doctest.h>

#include "policy/server_health.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;
using namespace std::chrono_literals;

namespace {

const backend_server_name server("s");

} // namespace

TEST_CASE("an unreachable server is ejected for longer each time, and tried again afterwards") {
    virtual_clock time;
    server_health health({.initial_ejection_time = 300ms, .max_ejection_time = 1s});
    health.add_failure(server, server_failure::unreachable, time.now());
    CHECK_FALSE(health.is_usable(server, time.now()));
    time.advance(300ms);
    CHECK(health.is_usable(server, time.now()));
    health.add_failure(server, server_failure::unreachable, time.now());
    time.advance(599ms);
    CHECK_FALSE(health.is_usable(server, time.now()));
    time.advance(1ms);
    health.add_failure(server, server_failure::unreachable, time.now());
    health.add_failure(server, server_failure::unreachable, time.now());
    time.advance(1s);
    CHECK(health.is_usable(server, time.now()));
    health.add_success(server);
    health.add_failure(server, server_failure::unreachable, time.now());
    time.advance(300ms);
    CHECK(health.is_usable(server, time.now()));
}

TEST_CASE("a server that refuses twice in a row is ejected") {
    virtual_clock time;
    server_health health({.initial_ejection_time = 300ms});
    health.add_failure(server, server_failure::refused, time.now());
    CHECK(health.is_usable(server, time.now()));
    health.add_success(server);
    health.add_failure(server, server_failure::refused, time.now());
    CHECK(health.is_usable(server, time.now()));
    health.add_failure(server, server_failure::refused, time.now());
    CHECK_FALSE(health.is_usable(server, time.now()));
    CHECK(health.get_failure_share(server) == 0);
    time.advance(300ms);
    CHECK(health.is_usable(server, time.now()));
}

TEST_CASE("single broken connections and answers with an error do not eject a server") {
    virtual_clock time;
    server_health health({.failures_to_eject = 3});
    health.add_failure(server, server_failure::broken, time.now());
    health.add_failure(server, server_failure::broken, time.now());
    CHECK(health.is_usable(server, time.now()));
    for (int answer = 0; answer < 20; ++answer) {
        health.add_failure(server, server_failure::answered_failure, time.now());
    }
    CHECK(health.is_usable(server, time.now()));
    CHECK(health.get_failure_share(server) > 0.8);
    health.add_failure(server, server_failure::broken, time.now());
    CHECK_FALSE(health.is_usable(server, time.now()));
    health.forget(server);
    CHECK(health.is_usable(server, time.now()));
    CHECK(health.get_failure_share(server) == 0);
}

TEST_CASE("ejected servers are returned with their remaining ejection times") {
    virtual_clock time;
    server_health health({.initial_ejection_time = 300ms});
    CHECK_FALSE(health.has_failed_last(server));
    health.add_failure(server, server_failure::refused, time.now());
    CHECK(health.has_failed_last(server));
    CHECK(health.get_ejected(time.now()).empty());
    health.add_failure(server, server_failure::refused, time.now());
    time.advance(100ms);
    CHECK(health.get_ejected(time.now()) == std::map<backend_server_name, duration>{{server, 200ms}});
    health.add_success(server);
    CHECK_FALSE(health.has_failed_last(server));
    CHECK(health.get_ejected(time.now()).empty());
}
