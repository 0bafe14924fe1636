#include <doctest/doctest.h>

#include <algorithm>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

namespace {

std::string get(const servers::http_request& request, const std::string& name) {
    return std::string(request[name]);
}

bool has(const servers::http_request& request, const std::string& name) {
    return request.find(name) != request.end();
}

} // namespace

TEST_CASE_FIXTURE(serving_fixture, "a request that arrives before the first configuration is refused as not run") {
    const answer got = ask(http::verb::get, "/safe/x");
    CHECK(got.status == 503);
    CHECK(got.headers.contains("Retry-After"));
}

TEST_CASE_FIXTURE(serving_fixture, "a request without a known route or a valid key is not forwarded") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "hello"));
    CHECK(ask(http::verb::get, "/unknown/x").status == 404);
    auto headers = get_headers();
    headers.back().second = "wrong";
    CHECK(ask(http::verb::get, "/safe/x", "", headers).status == 401);
    headers.pop_back();
    CHECK(ask(http::verb::get, "/safe/x", "", headers).status == 401);
    CHECK(server.get_requests().empty());
    CHECK(ask(http::verb::get, "/open/x", "", headers).status == 200);
    const answer got = ask(http::verb::get, "/safe/x?q=1");
    CHECK(got.status == 200);
    CHECK(got.body == "hello");
    CHECK(got.headers.at("Dragonflywell-Server-Seal") == "seal");
    CHECK(server.get_requests().back().target() == "/safe/x?q=1");
}

TEST_CASE_FIXTURE(
    serving_fixture,
    "a request is forwarded without the API key, hop-by-hop headers and headers that only the system sets") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, ""));
    auto headers = get_headers();
    headers.emplace_back("Dragonflywell-Tenant", "someone else");
    headers.emplace_back("Dragonflywell-Kv-Hold", "x");
    headers.emplace_back("Dragonflywell-Request-Urgency", "0");
    headers.emplace_back("X-Private", "1");
    headers.emplace_back("X-Kept", "2");
    headers.emplace_back("Connection", "X-Private, Dragonflywell-Attempt-Id");
    CHECK(ask(http::verb::post, "/unsafe/x", "the body", headers).status == 200);
    const servers::http_request& request = server.get_requests().at(0);
    CHECK(request.method() == http::verb::post);
    CHECK(request.body() == "the body");
    CHECK(get(request, "Host") == "host.example");
    CHECK(get(request, "Dragonflywell-Attempt-Id") == "a1");
    CHECK(get(request, "Dragonflywell-Tenant") == "org");
    CHECK(get(request, "Dragonflywell-Expect-Instance") == "s1");
    CHECK(get(request, "X-Kept") == "2");
    CHECK_FALSE(has(request, "Api-Key"));
    CHECK_FALSE(has(request, "X-Private"));
    CHECK_FALSE(has(request, "Dragonflywell-Kv-Hold"));
    CHECK_FALSE(has(request, "Dragonflywell-Request-Urgency"));
    const int left = std::stoi(get(request, "Dragonflywell-Deadline-Ms"));
    CHECK(left > 0);
    CHECK(left <= 60000);
}

TEST_CASE_FIXTURE(serving_fixture, "a chunked request body is forwarded whole") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "ok"));
    answer got;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        const std::string bytes = "POST /unsafe/x HTTP/1.1\r\nHost: host.example\r\nDragonflywell-Attempt-Id: a1\r\n"
                                  "Api-Key: secret\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        got = co_await read_answer(socket);
    });
    CHECK(got.status == 200);
    CHECK(server.get_requests().at(0).body() == "abcdefg");
    CHECK(get(server.get_requests().at(0), "Content-Length") == "7");
}

TEST_CASE_FIXTURE(
    serving_fixture,
    "a request with both Content-Length and Transfer-Encoding is refused, so that no request can be smuggled") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "ok"));
    answer got;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        const std::string bytes = "POST /unsafe/x HTTP/1.1\r\nHost: host.example\r\nApi-Key: secret\r\n"
                                  "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                                  "GET /safe/smuggled HTTP/1.1\r\nHost: host.example\r\nApi-Key: secret\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        got = co_await read_answer(socket);
    });
    CHECK(got.status == 400);
    CHECK(server.get_requests().empty());
}

TEST_CASE_FIXTURE(serving_fixture, "a request that must not be retried runs once when its response is lost") {
    configure();
    const raw_server& first = add_server("s1", {}, reset());
    const raw_server& second = add_server("s2", {}, reset());
    const answer got = ask(http::verb::post, "/unsafe/x", "{}");
    CHECK(got.status == 502);
    CHECK(first.get_requests().size() + second.get_requests().size() == 1);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a request that must not be retried is sent to another server if the first one did not run it") {
    configure();
    SUBCASE("the first server refuses it") {
        add_server("s1", {}, refuse());
    }
    SUBCASE("another server runs at the address") {
        add_server("s1", {},
                   [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                       std::string bytes = "HTTP/1.1 421 X\r\nDragonflywell-Attempt-Id: " + get_id(request) +
                                           "\r\nContent-Length: 0\r\n\r\n";
                       co_await connection.write(std::move(bytes));
                   });
    }
    SUBCASE("the first server accepts no connection") {
        add_server("s1", {}, reset()).stop_listening();
    }
    // A higher load is set for the second server, so that the first one is chosen first.
    const raw_server& second = add_server("s2", {}, answer_with(200, "done"));
    set_other_in_flight("s2", 3);
    const answer got = ask(http::verb::post, "/unsafe/x", "{}");
    CHECK(got.status == 200);
    CHECK(got.body == "done");
    CHECK(second.get_requests().size() == 1);
}

TEST_CASE_FIXTURE(serving_fixture, "a failed idempotent request is retried on another server") {
    configure();
    add_server("s1", {}, answer_with(500, "bad"));
    const raw_server& second = add_server("s2", {}, answer_with(200, "good"));
    set_other_in_flight("s2", 3);
    CHECK(ask(http::verb::get, "/safe/x").body == "good");
    CHECK(second.get_requests().size() == 1);
}

TEST_CASE_FIXTURE(serving_fixture, "when all attempts fail the caller gets the unchanged response of a server") {
    configure();
    add_server("s1", {}, answer_with(500, "bad"));
    add_server("s2", {}, answer_with(500, "bad"));
    add_server("s3", {}, answer_with(500, "bad"));
    const answer got = ask(http::verb::get, "/safe/x");
    CHECK(got.status == 500);
    CHECK(got.body == "bad");
    CHECK(got.headers.at("Dragonflywell-Server-Seal") == "seal");
    std::size_t runs = 0;
    for (const auto& [name, server] : added) {
        runs += server->get_requests().size();
    }
    CHECK(runs == 2);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a response that is malformed or belongs to another request does not reach the caller") {
    configure();
    SUBCASE("it is truncated") {
        add_server("s1", {},
                   [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                       std::string bytes = make_answer(request, 200, "whole body");
                       bytes.resize(bytes.size() - 3);
                       co_await connection.write(std::move(bytes));
                       connection.close();
                   });
    }
    SUBCASE("it is not HTTP") {
        add_server("s1", {},
                   [](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                       co_await connection.write("garbage garbage\r\n\r\n");
                       connection.close();
                   });
    }
    SUBCASE("its status is out of range") {
        add_server("s1", {}, answer_with(99, "not HTTP"));
    }
    SUBCASE("it has no seal") {
        add_server("s1", {},
                   [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                       std::string bytes = "HTTP/1.1 200 OK\r\nDragonflywell-Attempt-Id: " + get_id(request) +
                                           "\r\nContent-Length: 2\r\n\r\nno";
                       co_await connection.write(std::move(bytes));
                   });
    }
    SUBCASE("it belongs to another request, and the connection is closed") {
        add_server("s1", {},
                   [](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                       servers::http_request other;
                       other.set("Dragonflywell-Attempt-Id", "z9");
                       co_await connection.write(make_answer(other, 200, "theirs"));
                       connection.close();
                   });
    }
    const answer got = ask(http::verb::post, "/unsafe/x", "{}");
    CHECK(got.status == 502);
    CHECK_FALSE(got.headers.contains("Dragonflywell-Server-Seal"));
}

TEST_CASE_FIXTURE(serving_fixture, "a request is refused immediately when no server is usable") {
    configure();
    const answer got = ask(http::verb::get, "/safe/x");
    CHECK(got.status == 503);
    CHECK(std::stod(got.headers.at("Retry-After")) > 0);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a request that exceeds its deadline gets a response, and the connection to the server is closed") {
    configure();
    bool has_ended = false;
    add_server("s1", {},
               [&](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                   co_await connection.wait_for_end();
                   has_ended = true;
                   connection.close();
               });
    auto headers = get_headers();
    headers[2].second = "50";
    CHECK(ask(http::verb::post, "/unsafe/x", "{}", headers).status == 504);
    run_until(loop, [&] { return has_ended; });
    CHECK(has_ended);
}

TEST_CASE_FIXTURE(serving_fixture, "when the caller disconnects, the connection to the server is closed") {
    configure();
    bool has_begun = false;
    bool has_ended = false;
    add_server("s1", {},
               [&](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                   has_begun = true;
                   co_await connection.wait_for_end();
                   has_ended = true;
                   connection.close();
               });
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        const std::string bytes = "GET /safe/x HTTP/1.1\r\nHost: host.example\r\nDragonflywell-Attempt-Id: a1\r\n"
                                  "Api-Key: secret\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        while (!has_begun) {
            co_await asio::post(loop, asio::use_awaitable);
        }
    });
    run_until(loop, [&] { return has_ended; });
    CHECK(has_ended);
}

TEST_CASE_FIXTURE(serving_fixture, "the response to HEAD has a length and no body, and the connection stays usable") {
    configure();
    const auto answer_head = [](const servers::http_request& request,
                                raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = "HTTP/1.1 200 OK\r\nDragonflywell-Attempt-Id: " + get_id(request) +
                            "\r\nDragonflywell-Server-Seal: seal\r\nContent-Length: 17\r\n\r\n";
        co_await connection.write(std::move(bytes));
    };
    const raw_server& server = add_server("s1", {}, answer_head);
    const answer got = ask(http::verb::head, "/safe/x");
    CHECK(got.status == 200);
    CHECK(got.headers.at("Content-Length") == "17");
    CHECK_FALSE(got.is_cut);
    CHECK(ask(http::verb::head, "/safe/x").status == 200);
    CHECK(server.get_connections() == 1);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a request that ran is counted once for its organisation, and a refused one is not counted") {
    configure();
    add_server("s1", {}, answer_with(200, "ok"));
    ask(http::verb::get, "/safe/x");
    ask(http::verb::get, "/open/x");
    ask(http::verb::get, "/unknown/x");
    std::uint64_t counted = 0;
    for (const auto& [window, counts] : state.usage.get_windows()) {
        for (const auto& [organisation, count] : counts) {
            CHECK(organisation.value() == "org");
            counted += count;
        }
    }
    CHECK(counted == 1);
}

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

TEST_CASE_FIXTURE(serving_fixture, "a server that begins to drain while a connection to it is opened gets no request") {
    configure();
    const raw_server& leaving = add_server("s1", {}, answer_with(200, "late"));
    answer got;
    bool is_done = false;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            asio::ip::tcp::socket socket = co_await connect();
            servers::http_request request(http::verb::get, "/safe/x", 11);
            for (const auto& [name, value] : get_headers()) {
                request.insert(name, value);
            }
            servers::error_code fault;
            co_await http::async_write(socket, request, servers::store_error(fault));
            got = co_await read_answer(socket);
            is_done = true;
        },
        asio::detached);
    run_until(loop, [&] { return state.get_in_flight(backend_server_name("s1")) > 0; });
    const raw_server& staying = add_server("s2", {}, answer_with(200, "in time"));
    fleet::server_record record = state.eligibility.get_list().find(backend_server_name("s1"))->record;
    record.is_draining = true;
    state.eligibility.get_list().apply(record, time.now());
    run_until(loop, [&] { return is_done; });
    CHECK(got.body == "in time");
    CHECK(leaving.get_requests().empty());
    CHECK(staying.get_requests().size() == 1);
    CHECK(state.health.is_usable(backend_server_name("s1"), time.now()));
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a plain request that ends in the next usage window is counted in the window in which it began") {
    configure();
    std::int64_t began_in = 0;
    add_server("s1", {},
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   began_in = state.usage.get_window(state.get_corrected_time());
                   state.adjust_corrected_time(state.options.usage_window);
                   const raw_server::behaviour answer = answer_with(200, "ok");
                   co_await answer(request, connection);
               });
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    REQUIRE(state.usage.get_windows().size() == 1);
    CHECK(state.usage.get_windows().begin()->first == began_in);
}

TEST_CASE_FIXTURE(serving_fixture, "a request whose caller left before a busy host read it reaches no server") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, ""));
    // The connection that this leaves open is used without waiting, so that no notification of the caller's end comes
    // between the request and its sending.
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    asio::ip::tcp::socket socket(loop);
    run_until_done(loop, [&]() -> asio::awaitable<void> { socket = co_await connect(); });
    run_until(loop, [&] { return entry.get_open_connections() > 0; });
    asio::write(socket, asio::buffer(std::string("GET /safe/x HTTP/1.1\r\nHost: host.example\r\n"
                                                 "Dragonflywell-Attempt-Id: a2\r\nApi-Key: secret\r\n\r\n")));
    socket.close();
    run_until(loop, [&] { return entry.get_open_connections() == 0; });
    CHECK(server.get_requests().size() == 1);
}
