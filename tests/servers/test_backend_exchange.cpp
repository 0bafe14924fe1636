#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "servers/backend_exchange.hpp"
#include "standin/raw_server.hpp"
#include "support/event_loop.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;

namespace {

/// Sends given bytes on one connection and closes it.
class scripted_server {
public:
    explicit scripted_server(std::string bytes)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}), m_thread([this, bytes = std::move(bytes)] {
              asio::ip::tcp::socket socket = m_acceptor.accept();
              beast::flat_buffer buffer;
              http_request request;
              http::read(socket, buffer, request);
              asio::write(socket, asio::buffer(bytes));
          }) {}
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;
    ~scripted_server() { m_thread.join(); }

    [[nodiscard]] endpoint get_endpoint() const {
        return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Returns the body of the response of a server, or the reason why it is rejected.
std::string ask(const std::string& bytes) {
    const scripted_server server(bytes);
    const host_clock clock;
    // The pool is destroyed before the context, because its connections must not outlive the context.
    asio::io_context context;
    backend_connection_pool pool(clock, {});
    std::string result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const exchange_options options{.may_reuse_connection = false, .progress_timeout = std::chrono::seconds(60)};
            backend_exchange exchange(pool, server.get_endpoint(), options);
            const http_request request(http::verb::get, "/", 11);
            try {
                co_await exchange.start(request);
                result = co_await exchange.read_rest(100);
            } catch (const exchange_failed_error& failure) {
                result = policy::get_retry_name(failure.get_reason());
            }
        },
        asio::detached);
    context.run();
    return result;
}

} // namespace

TEST_CASE("a response that is truncated, has no length or is too long is not accepted as complete") {
    CHECK(ask("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour") == "four");
    CHECK(ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n") == "four");
    CHECK(ask("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfo") == "broken_answer");
    CHECK(ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n") == "broken_answer");
    CHECK(ask("HTTP/1.1 200 OK\r\n\r\nfou") == "malformed_answer");
    CHECK(ask("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x')) == "malformed_answer");
    CHECK(ask("not HTTP\r\n\r\n") == "broken_answer");
}

TEST_CASE("an interim response whose status the HTTP library has no name for is not taken for the final one") {
    const std::string final_response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour";
    for (const int status : {103, 110, 199}) {
        CAPTURE(status);
        CHECK(ask("HTTP/1.1 " + std::to_string(status) + " X\r\n\r\n" + final_response) == "four");
    }
}

TEST_CASE("a response without a length that is cancelled between two reads is not taken for complete") {
    asio::io_context loop{1};
    const host_clock clock;
    backend_connection_pool pool(clock, {});
    const standin::raw_server server(
        loop, [](const http_request&, standin::raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.write("HTTP/1.1 200 OK\r\n\r\nhalf");
            co_await connection.wait_for_end();
        });
    bool is_complete = false;
    testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
        const exchange_options options{.progress_timeout = std::chrono::seconds(60), .accepts_unframed_response = true};
        backend_exchange exchange(pool, server.get_endpoint(), options);
        const http_request request(http::verb::get, "/", 11);
        co_await exchange.start(request);
        exchange.cancel();
        try {
            co_await exchange.read_rest(100);
            is_complete = true;
        } catch (const exchange_failed_error&) {
            is_complete = false;
        }
    });
    CHECK_FALSE(is_complete);
    pool.clear();
}
