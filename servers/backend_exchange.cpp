#include "servers/backend_exchange.hpp"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

namespace dragonflywell::servers {

namespace {

constexpr std::size_t piece_bytes = 16 * 1024;
constexpr duration settle_deadline = std::chrono::milliseconds(20);

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
    if (m_is_cancelled) {
        fail(asio::error::operation_aborted, exchange_phase::before_send, "given up");
    }
    beast::tcp_stream& stream = m_connection->stream;
    limit_silence();
    co_await http::async_write(stream, request, store_error(fault));
    if (fault) {
        fail(fault, exchange_phase::after_send, "request was not sent whole");
    }
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->skip(request.method() == http::verb::head);
    limit_silence();
    co_await http::async_read_header(stream, m_connection->buffer, *m_parser, store_error(fault));
    if (fault) {
        fail(fault, exchange_phase::after_send, "no answer");
    }
    if (!m_parser->is_done() && m_parser->need_eof()) {
        throw exchange_failed_error("answer does not say how long it is", exchange_phase::after_send,
                                    policy::retry_reason::malformed_answer);
    }
}

asio::awaitable<std::string_view> backend_exchange::read_some() {
    while (!m_parser->is_done()) {
        auto& body = m_parser->get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        limit_silence();
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

asio::awaitable<std::string> backend_exchange::read_rest(std::size_t limit_bytes) {
    std::string rest;
    std::string_view piece = co_await read_some();
    while (!piece.empty()) {
        if (rest.size() + piece.size() > limit_bytes) {
            throw exchange_failed_error("answer is too large", exchange_phase::after_send,
                                        policy::retry_reason::malformed_answer);
        }
        rest += piece;
        piece = co_await read_some();
    }
    co_return rest;
}

asio::awaitable<void> backend_exchange::settle() {
    m_options.progress_deadline = std::min(m_options.progress_deadline, settle_deadline);
    try {
        co_await read_some();
    } catch (const exchange_failed_error&) {
        // The answer is whole, and its connection is not used again.
    }
}

void backend_exchange::cancel() {
    m_is_cancelled = true;
    if (m_connection != nullptr) {
        m_connection->stream.cancel();
        error_code ignored;
        m_connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
}

void backend_exchange::limit_silence() {
    const duration left = m_options.last_moment - m_pool->get_time().now();
    m_connection->stream.expires_after(std::clamp(left, duration::zero(), m_options.progress_deadline));
}

void backend_exchange::fail(const error_code& fault, exchange_phase phase, const char* what) const {
    const bool was_reused = m_connection != nullptr && m_connection->is_reused;
    policy::retry_reason reason =
        was_reused ? policy::retry_reason::stale_connection : policy::retry_reason::broken_answer;
    if (phase == exchange_phase::before_send) {
        reason = policy::retry_reason::connect_failed;
    } else if (fault == beast::error::timeout) {
        reason = policy::retry_reason::silent_backend_server;
    }
    throw exchange_failed_error(std::string(what) + ": " + fault.message(), phase, reason);
}

} // namespace dragonflywell::servers
