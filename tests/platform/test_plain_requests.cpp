#include <doctest/doctest.h>

#include "support/request_headers.hpp"
#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::get;
using dragonflywell::testing::has;
using dragonflywell::testing::run_until;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

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
