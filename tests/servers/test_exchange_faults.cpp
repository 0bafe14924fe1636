#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include "servers/backend_exchange.hpp"
#include "standin/raw_server.hpp"
#include "support/event_loop.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until_done;
using namespace std::chrono_literals;

namespace {

response_owner find_owner(const http::response_header<>& head) {
    return {.request_id = head["Id"], .may_omit_id = false};
}

/// Client side of exchanges whose responses carry the id of their request.
struct fixture {
    asio::io_context loop{1};
    host_clock time;
    backend_connection_pool pool{time, {}};
    ~fixture() { pool.clear(); }

    /// Returns the body of the response, or the reason why there is none.
    std::string ask(const raw_server& server, const std::string& id, std::string body = "") {
        std::string result;
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            const exchange_options options{.progress_timeout = 60s,
                                           .accepts_unframed_response = true,
                                           .matching = response_matching{.request_id = id, .find_owner = find_owner}};
            backend_exchange exchange(pool, server.get_endpoint(), options);
            http_request request(http::verb::post, "/", 11);
            request.set("Id", id);
            request.body() = std::move(body);
            try {
                co_await exchange.start(request);
                result = co_await exchange.read_rest(1000);
            } catch (const exchange_failed_error& failure) {
                result = policy::get_retry_name(failure.get_reason());
            }
        });
        return result;
    }
};

std::string make_answer(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string get_id(const http_request& request) {
    return std::string(request["Id"]);
}

} // namespace

TEST_CASE_FIXTURE(fixture, "a late response to an earlier request is skipped and not returned for this one") {
    raw_server server(loop, [](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = make_answer("other", "not yours") + make_answer(get_id(request), "yours");
        co_await connection.write(std::move(bytes));
    });
    CHECK(ask(server, "a") == "yours");
}

TEST_CASE_FIXTURE(fixture, "a request is not sent again on a connection that has carried its id") {
    raw_server server(loop, [](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        co_await connection.write(make_answer(get_id(request), "yours"));
    });
    CHECK(ask(server, "a") == "yours");
    CHECK(ask(server, "b") == "yours");
    CHECK(server.get_connections() == 1);
    CHECK(ask(server, "a") == "yours");
    CHECK(server.get_connections() == 2);
    // The newest connection has carried only "a".
    CHECK(ask(server, "b") == "yours");
    CHECK(ask(server, "c") == "yours");
    CHECK(server.get_connections() == 2);
}

TEST_CASE_FIXTURE(fixture, "a connection is closed before the history of its requests grows without end") {
    raw_server server(loop, [](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        co_await connection.write(make_answer(get_id(request), "yours"));
    });
    for (std::size_t number = 0; number < exchange_history::max_requests; ++number) {
        CHECK(ask(server, std::to_string(number)) == "yours");
    }
    CHECK(server.get_connections() == 1);
    CHECK(ask(server, "next") == "yours");
    CHECK(server.get_connections() == 2);
}

TEST_CASE_FIXTURE(fixture, "a connection that received bytes after its response is not reused") {
    raw_server server(loop, [](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = make_answer(get_id(request), "yours") + make_answer(get_id(request), "again");
        co_await connection.write(std::move(bytes));
    });
    CHECK(ask(server, "a") == "yours");
    CHECK(ask(server, "b") == "yours");
    CHECK(server.get_connections() == 2);
}

TEST_CASE_FIXTURE(fixture, "a connection that received bytes while idle is not reused") {
    raw_server server(loop, [](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        co_await connection.write(make_answer(get_id(request), "yours"));
        if (get_id(request) == "a") {
            co_await connection.write("HTTP/1.1 200 OK\r\n");
        }
    });
    CHECK(ask(server, "a") == "yours");
    loop.restart();
    loop.poll();
    CHECK(ask(server, "b") == "yours");
    CHECK(server.get_connections() == 2);
}

TEST_CASE_FIXTURE(fixture,
                  "a connection is reused after a complete response, unless the server has announced to close it") {
    raw_server server(loop, [](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = make_answer(get_id(request), "yours");
        if (get_id(request) == "b") {
            bytes.insert(bytes.find("\r\n") + 2, "Keep-Alive: timeout=0\r\n");
        }
        co_await connection.write(std::move(bytes));
    });
    CHECK(ask(server, "a") == "yours");
    CHECK(ask(server, "b") == "yours");
    CHECK(server.get_connections() == 1);
    CHECK(ask(server, "c") == "yours");
    CHECK(server.get_connections() == 2);
}

TEST_CASE_FIXTURE(fixture,
                  "a response without a length is complete when the connection closes, but not when it is reset") {
    raw_server server(loop, [](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = "HTTP/1.1 200 OK\r\nId: " + get_id(request) + "\r\n\r\nall of it";
        co_await connection.write(std::move(bytes));
        connection.close();
    });
    CHECK(ask(server, "a") == "all of it");
    server.set_behaviour([](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = "HTTP/1.1 200 OK\r\nId: " + get_id(request) + "\r\n\r\nhalf of";
        co_await connection.write(std::move(bytes));
        connection.reset();
    });
    CHECK(ask(server, "a") == "broken_answer");
}

TEST_CASE_FIXTURE(fixture, "an interim response is not taken for the final one") {
    raw_server server(loop, [](const http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = "HTTP/1.1 100 Continue\r\n\r\n" + make_answer(get_id(request), "yours");
        co_await connection.write(std::move(bytes));
    });
    CHECK(ask(server, "a") == "yours");
}

TEST_CASE_FIXTURE(
    fixture,
    "a response that arrives before the request was fully sent is accepted, and its connection is not reused") {
    // The server responds to a large request after it has read only the beginning.
    asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
    std::vector<std::unique_ptr<raw_connection>> connections;
    std::string result;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            for (;;) {
                asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
                std::string piece(100, '\0');
                co_await socket.async_read_some(asio::buffer(piece), asio::use_awaitable);
                // The rest of the request is never read, so that the write of the client does not complete.
                connections.push_back(std::make_unique<raw_connection>(std::move(socket)));
                co_await connections.back()->write(make_answer("a", "early"));
            }
        },
        asio::detached);
    const endpoint address{.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
    for (int round = 0; round < 2; ++round) {
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            const exchange_options options{.progress_timeout = 60s};
            backend_exchange exchange(pool, address, options);
            http_request request(http::verb::post, "/", 11);
            request.body() = std::string(32 * 1024 * 1024, 'x');
            co_await exchange.start(request);
            result = co_await exchange.read_rest(1000);
        });
        CHECK(result == "early");
    }
    CHECK(connections.size() == 2);
}

namespace {

/// Responds before the body of the request is read, ends the sending direction, and never reads on.
asio::awaitable<void> answer_and_stop_reading(const http_request& request, raw_connection& connection) {
    const std::string bytes = "HTTP/1.1 200 OK\r\nId: " + get_id(request) + "\r\n\r\nall of it";
    co_await connection.write(bytes);
    connection.end_sending();
    asio::steady_timer never(connection.get_socket().get_executor(), asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::use_awaitable);
}

constexpr std::size_t long_body_bytes = 32UL * 1024 * 1024;

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "a server that ends its response and never reads the request holds no caller for longer than "
                  "the time limit") {
    raw_server server(loop, answer_and_stop_reading, standin::request_part::head);
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        const exchange_options options{.progress_timeout = 100ms, .accepts_unframed_response = true};
        backend_exchange exchange(pool, server.get_endpoint(), options);
        http_request request(http::verb::post, "/", 11);
        request.body() = std::string(long_body_bytes, 'x');
        std::optional<policy::retry_reason> reason;
        try {
            co_await exchange.start(request);
            co_await exchange.read_rest(1000);
        } catch (const exchange_failed_error& failure) {
            reason = failure.get_reason();
        }
        CHECK(reason == policy::retry_reason::silent_backend_server);
    });
}

TEST_CASE_FIXTURE(fixture, "a caller that leaves while the request is still being sent ends the exchange") {
    raw_server server(loop, answer_and_stop_reading, standin::request_part::head);
    const exchange_options options{.progress_timeout = 60s, .accepts_unframed_response = true};
    backend_exchange exchange(pool, server.get_endpoint(), options);
    bool has_failed = false;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        http_request request(http::verb::post, "/", 11);
        request.body() = std::string(long_body_bytes, 'x');
        try {
            co_await exchange.start(request);
            asio::post(loop, [&] { exchange.cancel(); });
            co_await exchange.read_rest(1000);
        } catch (const exchange_failed_error&) {
            has_failed = true;
        }
    });
    CHECK(has_failed);
}
