#include "servers/backend_exchange.hpp"

#include <boost/asio/this_coro.hpp>

namespace dragonflywell::servers {

namespace {

constexpr std::size_t piece_bytes = 16 * 1024;

} // namespace

backend_exchange::backend_exchange(backend_connection_pool& pool, endpoint server, exchange_options options)
    : m_pool(&pool), m_server(std::move(server)), m_options(options), m_piece(piece_bytes, '\0') {}

asio::awaitable<void> backend_exchange::start(const http_request& request) {
    error_code fault;
    if (m_options.may_reuse) {
        m_connection = m_pool->take_idle(m_server, co_await asio::this_coro::executor);
    }
    if (m_connection == nullptr) {
        m_connection = co_await m_pool->connect(m_server, fault);
    }
    if (fault) {
        fail(fault, exchange_phase::before_send, "no connection");
    }
    beast::tcp_stream& stream = m_connection->stream;
    stream.expires_after(m_options.progress_deadline);
    co_await http::async_write(stream, request, store_error(fault));
    if (fault) {
        fail(fault, exchange_phase::after_send, "request was not sent whole");
    }
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    stream.expires_after(m_options.progress_deadline);
    co_await http::async_read_header(stream, m_connection->buffer, *m_parser, store_error(fault));
    if (fault) {
        fail(fault, exchange_phase::after_send, "no answer");
    }
}

asio::awaitable<std::string_view> backend_exchange::read_some() {
    while (!m_parser->is_done()) {
        auto& body = m_parser->get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        m_connection->stream.expires_after(m_options.progress_deadline);
        error_code fault;
        co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, store_error(fault));
        if (fault && fault != http::error::need_buffer) {
            fail(fault, exchange_phase::after_send, "answer broke off");
        }
        const std::size_t received = m_piece.size() - body.size;
        if (received > 0) {
            co_return std::string_view(m_piece.data(), received);
        }
    }
    if (m_connection != nullptr && m_parser->get().keep_alive()) {
        m_pool->put_idle(m_server, std::move(m_connection));
    }
    m_connection.reset();
    co_return std::string_view();
}

void backend_exchange::fail(const error_code& fault, exchange_phase phase, const char* what) const {
    const bool was_reused = m_connection != nullptr && m_connection->is_reused;
    throw exchange_failed_error(std::string(what) + ": " + fault.message(), phase, fault == beast::error::timeout,
                                was_reused);
}

} // namespace dragonflywell::servers
