#pragma once

#include "core/clock.hpp"
#include "servers/caller_channel.hpp"

namespace dragonflywell::servers {

/// The way back to a caller over plain TCP.
class tcp_caller_channel final : public caller_channel {
public:
    /// Precondition: `stream` outlives the channel.
    tcp_caller_channel(beast::tcp_stream& stream, duration io_timeout, bool keep_alive);

    asio::awaitable<void> send(http_response response) override;
    asio::awaitable<void> start_stream(std::string_view content_type) override;
    asio::awaitable<void> send_chunk(std::string_view data) override;
    asio::awaitable<void> finish_stream() override;
    void abort_stream() override;
    [[nodiscard]] bool is_started() const noexcept override { return m_is_started; }

    /// Returns whether the connection can take another request.
    [[nodiscard]] bool is_reusable() const noexcept { return m_is_whole && m_keep_alive; }

private:
    beast::tcp_stream* m_stream;
    duration m_io_timeout;
    bool m_keep_alive;
    bool m_is_started{false};
    bool m_is_whole{false};
};

} // namespace dragonflywell::servers
