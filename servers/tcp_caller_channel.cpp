#include "servers/tcp_caller_channel.hpp"

#include <boost/asio/write.hpp>

namespace dragonflywell::servers {

tcp_caller_channel::tcp_caller_channel(beast::tcp_stream& stream, caller_watch& watch, duration io_timeout,
                                       bool keep_alive, const std::atomic<bool>& is_closing)
    : m_stream(&stream), m_watch(&watch), m_is_closing(&is_closing), m_io_timeout(io_timeout),
      m_keep_alive(keep_alive) {}

void tcp_caller_channel::start_answer() {
    m_is_started = true;
    m_keep_alive = m_keep_alive && !*m_is_closing;
}

void tcp_caller_channel::throw_if_gone(const error_code& fault) {
    if (fault) {
        m_watch->set_gone();
        throw caller_gone_error("caller does not take its answer: " + fault.message());
    }
}

asio::awaitable<void> tcp_caller_channel::send(http_response response) {
    start_answer();
    response.keep_alive(m_keep_alive);
    response.prepare_payload();
    m_stream->expires_after(m_io_timeout);
    error_code fault;
    co_await http::async_write(*m_stream, response, store_error(fault));
    throw_if_gone(fault);
    m_is_whole = true;
}

asio::awaitable<void> tcp_caller_channel::start_stream(std::string_view content_type) {
    start_answer();
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, content_type);
    head.set(http::field::cache_control, "no-cache");
    head.keep_alive(m_keep_alive);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    m_stream->expires_after(m_io_timeout);
    error_code fault;
    co_await http::async_write_header(*m_stream, serializer, store_error(fault));
    throw_if_gone(fault);
}

asio::awaitable<void> tcp_caller_channel::send_chunk(std::string_view data) {
    m_stream->expires_after(m_io_timeout);
    error_code fault;
    co_await asio::async_write(*m_stream, http::make_chunk(asio::buffer(data)), store_error(fault));
    throw_if_gone(fault);
}

asio::awaitable<void> tcp_caller_channel::finish_stream() {
    m_stream->expires_after(m_io_timeout);
    error_code fault;
    co_await asio::async_write(*m_stream, http::make_chunk_last(), store_error(fault));
    throw_if_gone(fault);
    m_is_whole = true;
}

void tcp_caller_channel::abort_stream() {
    m_keep_alive = false;
}

} // namespace dragonflywell::servers
