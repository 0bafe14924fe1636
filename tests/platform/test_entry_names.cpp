#include <algorithm>
#include <doctest/doctest.h>

#include "core/error.hpp"
#include "platform/server_record_decoder.hpp"
#include "support/generation_parts.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::count_runs;
using dragonflywell::testing::decode;
using dragonflywell::testing::make_events;
using dragonflywell::testing::prefill;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
using namespace std::chrono_literals;
using namespace std::string_literals;
namespace http = servers::http;
namespace asio = boost::asio;

namespace {

const std::string injected = "x\r\nX-Injected: 1";

std::string make_entry(const std::string& address) {
    return fmt::format(R"({{"service":"app","addr":"{}","zone":"z","version":"1","slots":4,"state":"ready",)"
                       R"("coldRemainingMs":0,"seq":1,"born":1}})",
                       address);
}

bool is_server(std::string_view name, const std::string& address = "10.0.0.1:80") {
    try {
        return platform::decode_server_record(name, make_entry(address)).id.value() == name;
    } catch (const malformed_message_error&) {
        return false;
    }
}

/// Sends a request outside of the request path. Returns the phase in which it failed, or nothing.
std::optional<servers::exchange_phase> send(serving_fixture& serving, const raw_server& server,
                                            const servers::http_request& request) {
    std::optional<servers::exchange_phase> failed_in;
    run_until_done(serving.loop, [&]() -> asio::awaitable<void> {
        const servers::exchange_options options{.progress_timeout = 60s};
        servers::backend_exchange exchange(serving.pool, server.get_endpoint(), options);
        try {
            co_await exchange.start(request);
            co_await exchange.read_rest(1000);
        } catch (const servers::exchange_failed_error& failure) {
            failed_in = failure.get_phase();
        }
    });
    return failed_in;
}

} // namespace

TEST_CASE("an entry whose name cannot stand in a header names no server") {
    for (const std::string name : {"i-1"s, "a b"s, "#"s, "a&b+c%41"s, "\xc3\xa9"s}) {
        CHECK(is_server(name));
    }
    for (const std::string name : {""s, " a"s, "a "s, "a\tb"s, injected, "a\nb"s, "a\0b"s, "\x7f"s, "\xff"s}) {
        CAPTURE(name);
        CHECK_FALSE(is_server(name));
    }
}

TEST_CASE("an entry whose address would go into a header with a line end names no server") {
    CHECK(is_server("i-1", "[::1]:80"));
    CHECK_FALSE(is_server("i-1", R"([fe80::1%\r\nX-Injected: 1]:80)"));
    CHECK_FALSE(is_server("i-1", R"(10.0.0.1\u0000\r\nX-Injected: 1:80)"));
}

TEST_CASE_FIXTURE(serving_fixture, "a request with a part that would end its line is not sent") {
    raw_server& server = add_server("s1", {}, answer_with(200, "ok"));
    servers::http_request proper(http::verb::get, "/x", 11);
    CHECK_FALSE(send(*this, server, proper));
    for (const std::string value : {injected, "a\nb"s, "a\rb"s, "a\0b"s}) {
        servers::http_request request(http::verb::get, "/x", 11);
        request.set("Dragonflywell-Expect-Instance", value);
        CHECK(send(*this, server, request) == servers::exchange_phase::before_send);
        servers::http_request named(http::verb::get, "/x", 11);
        named.set(value, "1");
        CHECK(send(*this, server, named) == servers::exchange_phase::before_send);
        CHECK(send(*this, server, servers::http_request(http::verb::get, "/" + value, 11)) ==
              servers::exchange_phase::before_send);
    }
    CHECK(send(*this, server, servers::http_request(http::verb::get, "/a b", 11)) ==
          servers::exchange_phase::before_send);
    CHECK(server.get_requests().size() == 1);
}

TEST_CASE_FIXTURE(serving_fixture, "a request that cannot be sent is refused as not run and counts against no server") {
    view.organisations = {{.name = organisation_name(injected), .priority = {}, .keys = {"secret"}}};
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "ok"));
    const raw_server& engine = add_server("d", decode, stream_events(1, 2));
    for (const std::string route : {"/unsafe/x", "/safe/x"}) {
        CHECK(ask(http::verb::post, route, "in").status == 503);
    }
    CHECK(generate("/gen/x").status == 503);
    CHECK(server.get_requests().empty());
    CHECK(engine.get_requests().empty());
    // A public route passes no organisation on.
    CHECK(ask(http::verb::get, "/open/x").status == 200);
    CHECK(state.health.get_failure_share(backend_server_name("s1")) == 0);
    CHECK(state.health.get_failure_share(backend_server_name("d")) == 0);
}

TEST_CASE("the handle of a KV cache that cannot stand in a path is not passed on") {
    for (const std::string handle :
         {R"(x\r\nX-Injected: 1)", R"(a b)", R"(a/b)", R"(a?b)", R"(a#b)", R"(a\u0000b)", "", R"(%41)"}) {
        CAPTURE(handle);
        serving_fixture serving;
        serving.configure();
        serving.add_server("p", prefill, serving_fixture::read_prompts(handle));
        const raw_server& engine = serving.add_server("d", decode, serving_fixture::stream_events(1, 2));
        CHECK(serving.generate("/gen/x").body == make_events(1, 2));
        REQUIRE(engine.get_requests().size() == 1);
        CHECK(engine.get_requests().front()["Dragonflywell-Kv-Source"].empty());
        CHECK(engine.get_requests().front()["X-Injected"].empty());
    }
}

TEST_CASE("a stream whose last event id cannot stand in a header is cut, not resumed from its beginning") {
    for (const std::string id : {"1\x01"s, "1\0"s, "1\x7f"s, std::string(100'000, '1')}) {
        CAPTURE(id.size());
        serving_fixture serving;
        serving.configure();
        const std::string event = "id: " + id + "\ndata: token\n\n";
        const auto answer = [&](const servers::http_request& request,
                                raw_connection& connection) -> asio::awaitable<void> {
            const std::string bytes = serving_fixture::make_stream_head(request) + serving_fixture::make_chunk(event);
            co_await connection.write(bytes);
            connection.close();
        };
        const raw_server& one = serving.add_server("d1", decode, answer);
        const raw_server& other = serving.add_server("d2", decode, answer);
        const serving_fixture::answer got = serving.generate("/resume/x");
        CHECK(got.is_cut);
        CHECK(got.body == event);
        CHECK(count_runs(one) + count_runs(other) == 1);
        CHECK(std::min(one.get_connections(), other.get_connections()) == 0);
    }
}
