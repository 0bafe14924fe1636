#include <doctest/doctest.h>

#include "support/generation_parts.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::decode;
using dragonflywell::testing::prefill;
using dragonflywell::testing::run_until;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

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

TEST_CASE_FIXTURE(serving_fixture, "when the caller disconnects, its stream is cancelled on the engine") {
    configure();
    add_server("p", prefill, read_prompts());
    bool has_ended = false;
    add_server("d", decode,
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   std::string bytes = make_stream_head(request) + make_chunk(make_event(1));
                   co_await connection.write(std::move(bytes));
                   co_await connection.wait_for_end();
                   has_ended = true;
                   connection.close();
               });
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        const std::string bytes =
            "POST /gen/x HTTP/1.1\r\nHost: host.example\r\nDragonflywell-Attempt-Id: a1\r\nApi-Key: secret\r\n"
            "Dragonflywell-Model: m\r\nDragonflywell-Token-Count: 100,10\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        std::string piece(4096, '\0');
        co_await socket.async_read_some(asio::buffer(piece), asio::use_awaitable);
    });
    run_until(loop, [&] { return has_ended; });
    CHECK(has_ended);
    CHECK(state.find_engines(service_name("llm"))->load_tracker.get_running(backend_server_name("d")) <= 1);
}
