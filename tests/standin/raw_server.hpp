#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::standin {

namespace asio = boost::asio;
namespace http = servers::http;

/// One connection to a test server, to which a test can write arbitrary bytes.
class raw_connection {
public:
    explicit raw_connection(asio::ip::tcp::socket socket) : m_socket(std::move(socket)) {}

    /// Writes the bytes unchanged.
    asio::awaitable<void> write(std::string bytes);
    /// Reads and drops this number of bytes, or fewer if the connection ends.
    asio::awaitable<void> read(std::size_t count);
    /// Waits until the peer has closed the connection.
    asio::awaitable<void> wait_for_end();
    /// Ends the sending direction, so that the peer sees the end of the data but may still send.
    void end_sending();
    /// Closes the connection with a TCP reset.
    void reset();
    void close();

    [[nodiscard]] asio::ip::tcp::socket& get_socket() noexcept { return m_socket; }

private:
    asio::ip::tcp::socket m_socket;
};

/// How much of a request a test server reads before it responds.
enum class request_part { whole, head };

/// A test server that reads whole requests, records them, and calls a function that responds to them.
///
/// Not thread safe: it is used on its event loop.
class raw_server {
public:
    /// Responds to one request. If the connection is still open afterwards, the server reads another request from it,
    /// unless it reads only the heads of requests.
    using behaviour = std::function<asio::awaitable<void>(const servers::http_request&, raw_connection&)>;

    raw_server(asio::io_context& loop, behaviour handler, request_part read_before_response = request_part::whole);
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;
    ~raw_server();

    void set_behaviour(behaviour handler) { m_state->handler = std::move(handler); }
    /// Closes the listener, so that new connections are refused.
    void stop_listening();

    [[nodiscard]] endpoint get_endpoint() const;
    [[nodiscard]] const std::vector<servers::http_request>& get_requests() const { return m_state->requests; }
    [[nodiscard]] std::size_t get_connections() const { return m_state->connections; }

private:
    /// State that outlives the server while a connection still uses it.
    struct shared_state {
        behaviour handler;
        request_part read_before_response{request_part::whole};
        std::vector<servers::http_request> requests;
        std::size_t connections{0};
        std::list<std::weak_ptr<raw_connection>> open;
    };

    static asio::awaitable<void> accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
                                        std::shared_ptr<shared_state> state);
    static asio::awaitable<void> serve(std::shared_ptr<raw_connection> connection, std::shared_ptr<shared_state> state);

    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
    std::shared_ptr<shared_state> m_state;
    endpoint m_endpoint;
};

} // namespace dragonflywell::standin
