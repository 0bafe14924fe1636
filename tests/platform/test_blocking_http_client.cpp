#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <semaphore>
#include <string>
#include <sys/socket.h>
#include <thread>

#include "platform/blocking_http_client.hpp"
#include "standin/raw_server.hpp"
#include "support/malformed_heads.hpp"

using namespace dragonflywell;
using boost::asio::ip::tcp;

namespace {

/// A server that responds to one request per connection, with a body that is the number of the connection, and then
/// closes the connection without announcing it in a `Connection: close` header. After extra bytes it keeps the
/// connection open until the client closes it.
class closing_server {
public:
    /// `extra`: bytes that are sent after each response.
    explicit closing_server(int connections, std::string extra = "")
        : m_extra(std::move(extra)),
          m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
          m_thread([this, connections] {
              for (int count = 0; count < connections; ++count) {
                  serve_one(count);
              }
          }) {}
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;
    closing_server(closing_server&&) = delete;
    closing_server& operator=(closing_server&&) = delete;
    ~closing_server() {
        // This connection unblocks a pending accept, so that the destructor does not hang after a failed check.
        boost::system::error_code ignored;
        tcp::socket last(m_context);
        last.connect(m_acceptor.local_endpoint(), ignored);
        last.close(ignored);
        m_thread.join();
    }

    /// Blocks until the client's kernel has received the close of a connection.
    void wait_for_close() { m_closed.acquire(); }

    [[nodiscard]] endpoint get_endpoint() const {
        return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

private:
    void serve_one(int number) {
        tcp::socket socket = m_acceptor.accept();
        std::string request;
        boost::system::error_code fault;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", fault);
        if (fault) {
            return;
        }
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(number) + m_extra;
        boost::asio::write(socket, boost::asio::buffer(response));
        if (!m_extra.empty()) {
            std::string ignored;
            boost::asio::read(socket, boost::asio::dynamic_buffer(ignored), fault);
            return;
        }
        socket.shutdown(tcp::socket::shutdown_send);
        wait_until_close_has_arrived(socket);
        m_closed.release();
    }

    /// The TCP state leaves FIN_WAIT1 when the client's kernel has acknowledged the FIN.
    static void wait_until_close_has_arrived(tcp::socket& socket) {
        tcp_info info{};
        do {
            std::this_thread::yield();
            socklen_t size = sizeof(info);
            ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
        } while (info.tcpi_state == TCP_FIN_WAIT1);
    }

    std::string m_extra;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::counting_semaphore<> m_closed{0};
    std::thread m_thread;
};

platform::http_client_response get(platform::blocking_http_client& client) {
    return client.exchange(boost::beast::http::verb::get, "/");
}

} // namespace

TEST_CASE("a connection that the server closed while it was idle is replaced before the next request") {
    closing_server server(2);
    platform::blocking_http_client client({.server = server.get_endpoint()});
    CHECK(get(client).body == "0");
    server.wait_for_close();
    CHECK(get(client).body == "1");
}

TEST_CASE("bytes that follow a response are not taken for the response to the next request") {
    closing_server server(2, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    platform::blocking_http_client client({.server = server.get_endpoint()});
    CHECK(get(client).body == "0");
    CHECK(get(client).body == "1");
}

TEST_CASE("a refused connection is reported as not sent, and a missing response as sent") {
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const endpoint address{.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
    SUBCASE("the server does not listen") {
        acceptor.close();
        platform::blocking_http_client client({.server = address});
        try {
            static_cast<void>(get(client));
            FAIL("an error was expected");
        } catch (const platform::http_exchange_error& fault) {
            CHECK_FALSE(fault.is_sent());
        }
    }
    SUBCASE("the server does not respond") {
        platform::blocking_http_client client({.server = address, .deadline = std::chrono::milliseconds(50)});
        try {
            static_cast<void>(get(client));
            FAIL("an error was expected");
        } catch (const platform::http_exchange_error& fault) {
            CHECK(fault.is_sent());
        }
    }
}

TEST_CASE("a part of a response that is cut while the request is being written is not a response") {
    boost::asio::io_context loop(1);
    standin::raw_server server(
        loop,
        [](const servers::http_request& /*request*/,
           standin::raw_connection& connection) -> boost::asio::awaitable<void> {
            co_await connection.write("HTTP/1.1 200 OK\r\n\r\n{\"a\":");
            connection.reset();
        },
        standin::request_part::head);
    std::thread runner([&] { loop.run(); });
    platform::blocking_http_client client({.server = server.get_endpoint()});
    constexpr std::size_t body_bytes = 4UL * 1024 * 1024;
    for (int round = 0; round < 5; ++round) {
        CHECK_THROWS_AS(client.exchange(boost::beast::http::verb::post, "/", std::string(body_bytes, 'x')),
                        platform::http_exchange_error);
    }
    loop.stop();
    runner.join();
}

TEST_CASE("a response whose status is none is not a response") {
    for (const testing::malformed_head& head : testing::make_odd_statuses()) {
        CAPTURE(head.version + head.status);
        boost::asio::io_context loop(1);
        standin::raw_server server(loop,
                                   [head](const servers::http_request& /*request*/,
                                          standin::raw_connection& connection) -> boost::asio::awaitable<void> {
                                       co_await connection.write(head.encode(200, "", "{}"));
                                       connection.close();
                                   });
        std::thread runner([&] { loop.run(); });
        platform::blocking_http_client client({.server = server.get_endpoint()});
        CHECK_THROWS_AS(get(client), platform::http_exchange_error);
        loop.stop();
        runner.join();
    }
}
