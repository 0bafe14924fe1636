#include <doctest/doctest.h>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

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

// Guards against one 421 of each server that took the whole service away until the servers restarted.
TEST_CASE_FIXTURE(serving_fixture,
                  "servers at whose addresses others answered get requests again some heartbeats later") {
    configure();
    for (const std::string name : {"s1", "s2"}) {
        add_server(name, {},
                   [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                       std::string bytes = "HTTP/1.1 421 X\r\nDragonflywell-Attempt-Id: " + get_id(request) +
                                           "\r\nContent-Length: 0\r\n\r\n";
                       co_await connection.write(std::move(bytes));
                   });
    }
    CHECK(ask(http::verb::get, "/safe/x").status == 503);
    for (auto& [name, server] : added) {
        CHECK(server->get_requests().size() == 1);
        server->set_behaviour(answer_with(200, "here"));
    }
    CHECK(ask(http::verb::get, "/safe/x").status == 503);
    time.advance(std::chrono::seconds(3));
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
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
