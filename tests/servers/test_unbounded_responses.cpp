#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "servers/backend_exchange.hpp"
#include "servers/event_splitter.hpp"
#include "standin/raw_server.hpp"
#include "support/event_loop.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until;
using dragonflywell::testing::run_until_done;
using namespace std::chrono_literals;

namespace {

/// Number of bytes at which the server stops if the caller does not close; far more than a caller may read.
constexpr std::size_t endless_bytes = 64UL * 1024 * 1024;
/// Limit on the bytes that the server can send: what the caller may read and what the socket buffers hold.
constexpr std::size_t max_accepted_bytes = 16UL * 1024 * 1024;

/// A client and a server that starts a response with given bytes and then repeats others without end.
struct fixture {
    asio::io_context loop{1};
    host_clock time;
    backend_connection_pool pool{time, {}};
    std::size_t sent{0};
    bool is_closed{false};
    std::string beginning;
    std::string repeated;
    raw_server server{loop, [this](const http_request&, raw_connection& connection) -> asio::awaitable<void> {
                          co_await connection.write(beginning);
                          std::string block;
                          while (block.size() < 64UL * 1024) {
                              block += repeated;
                          }
                          error_code fault;
                          while (!fault && sent < endless_bytes) {
                              sent += co_await asio::async_write(connection.get_socket(), asio::buffer(block),
                                                                 store_error(fault));
                          }
                          is_closed = fault.failed();
                          connection.close();
                      }};

    ~fixture() { pool.clear(); }

    /// Returns the reason why the response is rejected, or "answered".
    std::string ask(std::string begins_with, std::string goes_on_with) {
        beginning = std::move(begins_with);
        repeated = std::move(goes_on_with);
        std::string result = "answered";
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            const exchange_options options{
                .progress_timeout = 60s,
                .accepts_unframed_response = true,
                .matching =
                    response_matching{.request_id = "own", .find_owner = [](const http::response_header<>& head) {
                                          return response_owner{.request_id = head["Id"], .may_omit_id = false};
                                      }}};
            backend_exchange exchange(pool, server.get_endpoint(), options);
            const http_request request(http::verb::get, "/", 11);
            try {
                co_await exchange.start(request);
                co_await exchange.read_rest(1024);
            } catch (const exchange_failed_error& failure) {
                result = policy::get_retry_name(failure.get_reason());
            }
        });
        pool.clear();
        run_until(loop, [&] { return is_closed || sent >= endless_bytes; });
        return result;
    }
};

const std::string own_head = "HTTP/1.1 200 OK\r\nId: own\r\n";

} // namespace

TEST_CASE_FIXTURE(fixture, "an unbounded sequence of bytes that is no HTTP response is not read to the end") {
    CHECK(ask("", "no answer ") != "answered");
    CHECK(sent < max_accepted_bytes);
}

TEST_CASE_FIXTURE(fixture, "an unbounded response header is not read to the end") {
    CHECK(ask(own_head, "X-More: and more\r\n") != "answered");
    CHECK(sent < max_accepted_bytes);
}

TEST_CASE_FIXTURE(fixture, "an unbounded response body is not read to the end") {
    CHECK(ask(own_head + "\r\n", "more") != "answered");
    CHECK(sent < max_accepted_bytes);
}

TEST_CASE_FIXTURE(fixture, "an unbounded chunk size line is not read to the end") {
    CHECK(ask(own_head + "Transfer-Encoding: chunked\r\n\r\n1;", "extension") != "answered");
    CHECK(sent < max_accepted_bytes);
}

TEST_CASE_FIXTURE(fixture, "unbounded trailers are not read to the end") {
    CHECK(ask(own_head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: and more\r\n") != "answered");
    CHECK(sent < max_accepted_bytes);
}

TEST_CASE_FIXTURE(fixture, "an unbounded sequence of interim responses is not read to the end") {
    CHECK(ask("", "HTTP/1.1 100 Continue\r\n\r\n") != "answered");
    CHECK(sent < max_accepted_bytes);
}

TEST_CASE_FIXTURE(fixture, "an unbounded sequence of responses to other requests is not read to the end") {
    CHECK(ask("", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nabc") != "answered");
    CHECK(sent < max_accepted_bytes);
}

TEST_CASE_FIXTURE(fixture, "a very long response to another request is not read to the end") {
    CHECK(ask("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 999999999\r\n\r\n", "abc") != "answered");
    CHECK(sent < max_accepted_bytes);
}

TEST_CASE_FIXTURE(fixture, "concurrent long responses together do not buffer more bytes than the shared budget") {
    constexpr std::size_t limit_bytes = 1000UL * 1000;
    constexpr std::size_t exchanges = 8;
    backend_connection_pool small_pool(time, {.max_buffered_bytes = limit_bytes});
    // Each response is below its own limit and then stalls, so that only the shared budget can fail it.
    raw_server slow(loop, [](const http_request&, raw_connection& connection) -> asio::awaitable<void> {
        co_await connection.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(limit_bytes / 4, 'a'));
        co_await connection.wait_for_end();
    });
    std::size_t failed = 0;
    for (std::size_t number = 0; number < exchanges; ++number) {
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                const exchange_options options{.progress_timeout = 60s, .accepts_unframed_response = true};
                backend_exchange exchange(small_pool, slow.get_endpoint(), options);
                const http_request request(http::verb::get, "/", 11);
                try {
                    co_await exchange.start(request);
                    co_await exchange.read_rest(limit_bytes);
                } catch (const exchange_failed_error& failure) {
                    failed += failure.get_reason() == policy::retry_reason::malformed_answer ? 1 : 0;
                }
            },
            asio::detached);
    }
    run_until(loop, [&] { return failed == exchanges / 2; });
    CHECK(failed == exchanges / 2);
    small_pool.clear();
}

TEST_CASE("an unbounded event is detected, and an incomplete one below the limit is not rejected") {
    event_splitter splitter;
    const std::string piece(64UL * 1024, 'a');
    for (int count = 0; count < 16; ++count) {
        splitter.add_bytes(piece);
    }
    CHECK(splitter.take_events().empty());
    CHECK_FALSE(splitter.is_event_too_long());
    splitter.add_bytes("a");
    CHECK(splitter.is_event_too_long());
}

TEST_CASE("a user of a byte budget returns what it no longer holds") {
    const byte_budget budget(100);
    byte_budget::share first(budget);
    byte_budget::share second(budget);
    CHECK(first.resize(80));
    CHECK_FALSE(second.resize(30));
    CHECK(first.resize(60));
    CHECK(second.resize(30));
    CHECK_FALSE(first.resize(71));
    CHECK(first.resize(70));
    CHECK(second.resize(0));
    CHECK(first.resize(100));
    byte_budget::share with_free_bytes(budget, 10);
    CHECK(with_free_bytes.resize(10));
    CHECK_FALSE(with_free_bytes.resize(11));
    CHECK(first.resize(99));
    CHECK(with_free_bytes.resize(11));
}
