#pragma once

#include <atomic>

#include "core/clock.hpp"
#include "servers/caller_channel.hpp"
#include "servers/caller_disconnect_monitor.hpp"

namespace dragonflywell::servers {

/// Sends responses to a caller over plain TCP.
class tcp_caller_channel final : public caller_channel {
public:
    /// Precondition: `stream`, `monitor` and `is_closing` outlive the channel. If `is_closing` is set when a response
    /// starts, the response has "Connection: close".
    tcp_caller_channel(beast::tcp_stream& stream, caller_disconnect_monitor& monitor, duration io_timeout,
                       bool keep_alive, const std::atomic<bool>& is_closing, bool is_head_request = false);

    asio::awaitable<void> send(http_response response) override;
    asio::awaitable<void> start_stream(stream_head head) override;
    asio::awaitable<void> send_chunk(std::string_view data) override;
    asio::awaitable<void> finish_stream() override;
    void abort_stream() override;
    [[nodiscard]] bool is_started() const noexcept override { return m_is_started; }
    [[nodiscard]] bool is_disconnected() const noexcept override { return m_monitor->is_disconnected(); }
    void set_on_disconnect(std::function<void()> notify) override { m_monitor->set_on_disconnect(std::move(notify)); }

    /// Returns whether the connection can be reused for another request.
    [[nodiscard]] bool is_reusable() const noexcept { return m_is_complete && m_keep_alive; }

private:
    void begin_response();
    void throw_if_disconnected(const error_code& fault);

    beast::tcp_stream* m_stream;
    caller_disconnect_monitor* m_monitor;
    const std::atomic<bool>* m_is_closing;
    duration m_io_timeout;
    bool m_keep_alive;
    /// The response to a HEAD request has a Content-Length but no body.
    bool m_is_head_request;
    bool m_is_started{false};
    bool m_is_complete{false};
};

} // namespace dragonflywell::servers
