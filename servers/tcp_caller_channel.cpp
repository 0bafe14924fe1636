#include "servers/tcp_caller_channel.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "policy/caller_limiter.hpp"

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
                                       const std::atomic<bool>& is_closing, caller_channel_options options)
    : m_stream(&stream), m_monitor(&monitor), m_is_closing(&is_closing), m_options(options) {}

void tcp_caller_channel::begin_response() {
    m_is_started = true;
    m_options.keep_alive = m_options.keep_alive && !*m_is_closing;
}

void tcp_caller_channel::throw_if_disconnected(const error_code& fault) {
    if (fault) {
        m_is_too_slow = m_is_too_slow || fault == beast::error::timeout;
        m_monitor->set_disconnected();
        throw caller_disconnected_error("writing the response to the caller failed: " + fault.message());
    }
}

asio::awaitable<void> tcp_caller_channel::send(http_response response) {
    begin_response();
    response.keep_alive(m_options.keep_alive);
    if (m_options.is_head_request) {
        remove_body(response);
    } else {
        response.prepare_payload();
    }
    http::response_serializer<http::string_body> serializer(response);
    const steady_time deadline =
        policy::get_response_deadline(std::chrono::steady_clock::now(), m_options.io_timeout, response.body().size());
    error_code fault;
    while (!serializer.is_done()) {
        m_stream->expires_at(std::min(std::chrono::steady_clock::now() + m_options.io_timeout, deadline));
        co_await http::async_write_some(*m_stream, serializer, store_error(fault));
        throw_if_disconnected(fault);
    }
    m_is_complete = true;
}

asio::awaitable<void> tcp_caller_channel::start_stream(stream_head head) {
    begin_response();
    head.keep_alive(m_options.keep_alive);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    m_stream->expires_after(m_options.io_timeout);
    error_code fault;
    co_await http::async_write_header(*m_stream, serializer, store_error(fault));
    throw_if_disconnected(fault);
}

asio::awaitable<void> tcp_caller_channel::send_chunk(std::string_view data) {
    m_stream->expires_after(m_options.io_timeout);
    error_code fault;
    co_await asio::async_write(*m_stream, http::make_chunk(asio::buffer(data)), store_error(fault));
    throw_if_disconnected(fault);
}

asio::awaitable<void> tcp_caller_channel::finish_stream() {
    m_stream->expires_after(m_options.io_timeout);
    error_code fault;
    co_await asio::async_write(*m_stream, http::make_chunk_last(), store_error(fault));
    throw_if_disconnected(fault);
    m_is_complete = true;
}

void tcp_caller_channel::abort_stream() {
    m_options.keep_alive = false;
}

} // namespace dragonflywell::servers
