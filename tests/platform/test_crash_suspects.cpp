#include <doctest/doctest.h>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;

TEST_CASE_FIXTURE(serving_fixture,
                  "a request that has crashed three servers is refused as not run, and other requests are served") {
    configure();
    for (const std::string name : {"s1", "s2", "s3"}) {
        add_server(name, {}, reset());
        CHECK(ask(http::verb::post, "/unsafe/x", "poison").status == 502);
        // The failure of the server is detected only after the response.
        state.record_server_down(backend_server_name(name));
        state.eligibility.get_list().remove(backend_server_name(name), time.now());
        state.refresh_servers();
    }
    const raw_server& healthy = add_server("s4", {}, answer_with(200, "ok"));
    const answer refused = ask(http::verb::post, "/unsafe/x", "poison");
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(healthy.get_requests().empty());
    CHECK(ask(http::verb::post, "/unsafe/x", "other").status == 200);
    CHECK(ask(http::verb::post, "/unsafe/y", "poison").status == 200);
}

TEST_CASE_FIXTURE(serving_fixture, "a request that was suspected of crashing servers is cleared once it succeeds") {
    configure();
    raw_server& server = add_server("s1", {}, reset());
    for (int crash = 0; crash < 2; ++crash) {
        CHECK(ask(http::verb::post, "/unsafe/x", "innocent").status == 502);
        state.record_server_down(backend_server_name("s1"));
        state.health.forget(backend_server_name("s1"));
    }
    CHECK_FALSE(state.suspects.is_empty());
    server.set_behaviour(answer_with(200, "ok"));
    CHECK(ask(http::verb::post, "/unsafe/x", "innocent").status == 200);
    CHECK(state.suspects.is_empty());
}
