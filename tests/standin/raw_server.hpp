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

/// One connection to a stand-in, on which a test writes what it likes, byte by byte.
class raw_connection {
public:
    explicit raw_connection(asio::ip::tcp::socket socket) : m_socket(std::move(socket)) {}

    /// Writes bytes as they are.
    asio::awaitable<void> write(std::string bytes);
    /// Waits until the other end has closed the connection.
    asio::awaitable<void> wait_for_end();
    /// Ends the connection with a reset instead of an ordinary close.
    void reset();
    void close();

    [[nodiscard]] asio::ip::tcp::socket& get_socket() noexcept { return m_socket; }

private:
    asio::ip::tcp::socket m_socket;
};

/// A server of the test's own making: it reads whole requests, notes them, and lets a function answer them.
///
/// Lives on the event loop that runs it; not thread safe.
class raw_server {
public:
    /// Answers one request. A connection that is still open afterwards takes another one.
    using behaviour = std::function<asio::awaitable<void>(const servers::http_request&, raw_connection&)>;

    raw_server(asio::io_context& loop, behaviour answer);
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;
    ~raw_server();

    void set_behaviour(behaviour answer) { m_state->answer = std::move(answer); }
    /// Takes no further connection and refuses new ones.
    void stop_listening();

    [[nodiscard]] endpoint get_endpoint() const;
    [[nodiscard]] const std::vector<servers::http_request>& get_requests() const { return m_state->requests; }
    [[nodiscard]] std::size_t get_connections() const { return m_state->connections; }

private:
    /// Outlives the server while a connection still uses it.
    struct shared_state {
        behaviour answer;
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
