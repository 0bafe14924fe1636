#include "servers/tcp_caller_channel.hpp"

#include <boost/asio/write.hpp>

namespace dragonflywell::servers {

namespace {

/// Leaves of the response to a HEAD request the header only. That of a backend server has no body and keeps its length.
void remove_body(http_response& response) {
    if (!response.body().empty()) {
        response.content_length(response.body().size());
        response.body().clear();
    }
}

} // namespace

tcp_caller_channel::tcp_caller_channel(beast::tcp_stream& stream, caller_disconnect_monitor& monitor,
                                       duration io_timeout, bool keep_alive, const std::atomic<bool>& is_closing,
                                       bool is_head_request)
    : m_stream(&stream), m_monitor(&monitor), m_is_closing(&is_closing), m_io_timeout(io_timeout),
      m_keep_alive(keep_alive), m_is_head_request(is_head_request) {}

void tcp_caller_channel::begin_response() {
    m_is_started = true;
    m_keep_alive = m_keep_alive && !*m_is_closing;
}

void tcp_caller_channel::throw_if_disconnected(const error_code& fault) {
    if (fault) {
        m_monitor->set_disconnected();
        throw caller_disconnected_error("writing the response to the caller failed: " + fault.message());
    }
}

asio::awaitable<void> tcp_caller_channel::send(http_response response) {
    begin_response();
    response.keep_alive(m_keep_alive);
    if (m_is_head_request) {
        remove_body(response);
    } else {
        response.prepare_payload();
    }
    m_stream->expires_after(m_io_timeout);
    error_code fault;
    co_await http::async_write(*m_stream, response, store_error(fault));
    throw_if_disconnected(fault);
    m_is_complete = true;
}

asio::awaitable<void> tcp_caller_channel::start_stream(stream_head head) {
    begin_response();
    head.keep_alive(m_keep_alive);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    m_stream->expires_after(m_io_timeout);
    error_code fault;
    co_await http::async_write_header(*m_stream, serializer, store_error(fault));
    throw_if_disconnected(fault);
}

asio::awaitable<void> tcp_caller_channel::send_chunk(std::string_view data) {
    m_stream->expires_after(m_io_timeout);
    error_code fault;
    co_await asio::async_write(*m_stream, http::make_chunk(asio::buffer(data)), store_error(fault));
    throw_if_disconnected(fault);
}

asio::awaitable<void> tcp_caller_channel::finish_stream() {
    m_stream->expires_after(m_io_timeout);
    error_code fault;
    co_await asio::async_write(*m_stream, http::make_chunk_last(), store_error(fault));
    throw_if_disconnected(fault);
    m_is_complete = true;
}

void tcp_caller_channel::abort_stream() {
    m_keep_alive = false;
}

} // namespace dragonflywell::servers
