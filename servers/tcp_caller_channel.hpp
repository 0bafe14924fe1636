#pragma once

#include <atomic>

#include "core/clock.hpp"
#include "servers/caller_channel.hpp"
#include "servers/caller_disconnect_monitor.hpp"

namespace dragonflywell::servers {

/// The way back to a caller over plain TCP.
class tcp_caller_channel final : public caller_channel {
public:
    /// Precondition: `stream`, `watch` and `is_closing` outlive the channel. While `is_closing` is set when an answer
    /// starts, the caller is told that the connection takes no further request.
    tcp_caller_channel(beast::tcp_stream& stream, caller_disconnect_monitor& watch, duration io_timeout,
                       bool keep_alive, const std::atomic<bool>& is_closing, bool is_head_request = false);

    asio::awaitable<void> send(http_response response) override;
    asio::awaitable<void> start_stream(stream_head head) override;
    asio::awaitable<void> send_chunk(std::string_view data) override;
    asio::awaitable<void> finish_stream() override;
    void abort_stream() override;
    [[nodiscard]] bool is_started() const noexcept override { return m_is_started; }
    [[nodiscard]] bool is_disconnected() const noexcept override { return m_watch->is_disconnected(); }
    void set_on_disconnect(std::function<void()> notify) override { m_watch->set_on_disconnect(std::move(notify)); }

    /// Returns whether the connection can take another request.
    [[nodiscard]] bool is_reusable() const noexcept { return m_is_whole && m_keep_alive; }

private:
    void start_answer();
    void throw_if_gone(const error_code& fault);

    beast::tcp_stream* m_stream;
    caller_disconnect_monitor* m_watch;
    const std::atomic<bool>* m_is_closing;
    duration m_io_timeout;
    bool m_keep_alive;
    /// The answer to a HEAD request has a length but no body.
    bool m_is_head_request;
    bool m_is_started{false};
    bool m_is_whole{false};
};

} // namespace dragonflywell::servers
