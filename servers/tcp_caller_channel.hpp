#pragma once

#include <atomic>
#include <optional>

#include "core/clock.hpp"
#include "servers/caller_channel.hpp"
#include "servers/caller_disconnect_monitor.hpp"

namespace dragonflywell::servers {

struct caller_channel_options {
    /// How long a caller may take to read a piece of the response.
    duration io_timeout{};
    bool keep_alive{false};
    /// The response to a HEAD request has a Content-Length but no body.
    bool is_head_request{false};
    std::optional<steady_time> head_time;
};

/// Sends responses to a caller over plain TCP. The time limit starts anew with each piece that the caller reads.
class tcp_caller_channel final : public caller_channel {
public:
    /// Precondition: `stream`, `monitor` and `is_closing` outlive the channel. If `is_closing` is set when a response
    /// starts, the response has "Connection: close".
    tcp_caller_channel(beast::tcp_stream& stream, caller_disconnect_monitor& monitor,
                       const std::atomic<bool>& is_closing, caller_channel_options options);

    asio::awaitable<void> send(http_response response) override;
    asio::awaitable<void> start_stream(stream_head head) override;
    asio::awaitable<void> send_chunk(std::string_view data) override;
    asio::awaitable<void> finish_stream() override;
    void abort_stream() override;
    [[nodiscard]] bool is_started() const noexcept override { return m_is_started; }
    [[nodiscard]] bool is_disconnected() const noexcept override { return m_monitor->is_disconnected(); }
    void set_on_disconnect(std::function<void()> notify) override { m_monitor->set_on_disconnect(std::move(notify)); }

    [[nodiscard]] std::optional<steady_time> get_head_time() const noexcept override { return m_options.head_time; }

    /// Returns whether the caller stopped reading for longer than permitted.
    [[nodiscard]] bool is_too_slow() const noexcept { return m_is_too_slow; }
    /// Returns whether the connection can be reused for another request.
    [[nodiscard]] bool is_reusable() const noexcept { return m_is_complete && m_options.keep_alive; }

private:
    void begin_response();
    void throw_if_disconnected(const error_code& fault);

    beast::tcp_stream* m_stream;
    caller_disconnect_monitor* m_monitor;
    const std::atomic<bool>* m_is_closing;
    caller_channel_options m_options;
    bool m_is_too_slow{false};
    bool m_is_started{false};
    bool m_is_complete{false};
};

} // namespace dragonflywell::servers
