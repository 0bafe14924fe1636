#include "standin/raw_server.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "support/free_address.hpp"

namespace dragonflywell::standin {

using asio::ip::tcp;
using servers::error_code;
using servers::store_error;

asio::awaitable<void> raw_connection::write(std::string bytes) {
    error_code ignored;
    co_await asio::async_write(m_socket, asio::buffer(bytes), store_error(ignored));
}

asio::awaitable<void> raw_connection::read(std::size_t count) {
    std::string bytes(count, '\0');
    error_code ignored;
    co_await asio::async_read(m_socket, asio::buffer(bytes), store_error(ignored));
}

asio::awaitable<void> raw_connection::wait_for_end() {
    std::string piece(1024, '\0');
    error_code fault;
    while (!fault) {
        co_await m_socket.async_read_some(asio::buffer(piece), store_error(fault));
    }
}

void raw_connection::end_sending() {
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void raw_connection::reset() {
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void raw_connection::close() {
    error_code ignored;
    m_socket.close(ignored);
}

raw_server::raw_server(asio::io_context& loop, behaviour handler, request_part read_before_response)
    : m_acceptor(std::make_shared<tcp::acceptor>(testing::listen_on_free_port(loop))),
      m_state(std::make_shared<shared_state>()), m_endpoint{.address = "127.0.0.1",
                                                            .port = m_acceptor->local_endpoint().port()} {
    m_state->handler = std::move(handler);
    m_state->read_before_response = read_before_response;
    if (read_before_response == request_part::head) {
        // A longer body then waits at the peer until the test reads it.
        constexpr int receive_buffer_bytes = 16 * 1024;
        m_acceptor->set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    }
    asio::co_spawn(loop, accept(m_acceptor, m_state), asio::detached);
}

raw_server::~raw_server() {
    stop_listening();
    for (const std::weak_ptr<raw_connection>& open : m_state->open) {
        if (const std::shared_ptr<raw_connection> connection = open.lock()) {
            connection->close();
        }
    }
}

void raw_server::stop_listening() {
    error_code ignored;
    m_acceptor->close(ignored);
}

endpoint raw_server::get_endpoint() const {
    return m_endpoint;
}

asio::awaitable<void> raw_server::accept(std::shared_ptr<tcp::acceptor> acceptor, std::shared_ptr<shared_state> state) {
    while (acceptor->is_open()) {
        error_code fault;
        tcp::socket socket = co_await acceptor->async_accept(store_error(fault));
        if (fault) {
            co_return;
        }
        ++state->connections;
        auto connection = std::make_shared<raw_connection>(std::move(socket));
        state->open.push_back(connection);
        asio::co_spawn(acceptor->get_executor(), serve(std::move(connection), state), asio::detached);
    }
}

asio::awaitable<void> raw_server::serve(std::shared_ptr<raw_connection> connection,
                                        std::shared_ptr<shared_state> state) {
    servers::beast::flat_buffer buffer;
    while (connection->get_socket().is_open()) {
        // A backend server takes whatever a host has accepted.
        constexpr std::uint32_t header_limit_bytes = 64U * 1024;
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        parser.header_limit(header_limit_bytes);
        error_code fault;
        if (state->read_before_response == request_part::head) {
            co_await http::async_read_header(connection->get_socket(), buffer, parser, store_error(fault));
        } else {
            co_await http::async_read(connection->get_socket(), buffer, parser, store_error(fault));
        }
        if (fault) {
            co_return;
        }
        const servers::http_request request = parser.release();
        state->requests.push_back(request);
        const behaviour handler = state->handler;
        co_await handler(request, *connection);
        if (state->read_before_response == request_part::head) {
            // What follows is the rest of the body.
            co_return;
        }
    }
}

} // namespace dragonflywell::standin
