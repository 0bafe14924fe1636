#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Thrown when the caller has closed its connection or no longer reads the response.
class caller_disconnected_error : public error {
public:
    using error::error;
};

/// Status and headers of a streamed response.
using stream_head = http::response<http::empty_body>;

/// Returns the header of a successful stream.
[[nodiscard]] inline stream_head make_stream_head(std::string_view content_type) {
    stream_head head(http::status::ok, 11);
    head.set(http::field::content_type, content_type);
    head.set(http::field::cache_control, "no-cache");
    return head;
}

/// Sends the response to one caller. All functions throw `caller_disconnected_error`. Handles one request at a time;
/// not thread safe.
class caller_channel {
public:
    caller_channel() = default;
    caller_channel(const caller_channel&) = delete;
    caller_channel& operator=(const caller_channel&) = delete;
    caller_channel(caller_channel&&) = delete;
    caller_channel& operator=(caller_channel&&) = delete;
    virtual ~caller_channel() = default;

    /// Sends a complete response.
    virtual asio::awaitable<void> send(http_response response) = 0;

    /// Starts a response of unknown length. Precondition: nothing of a response has been sent.
    virtual asio::awaitable<void> start_stream(stream_head head) = 0;
    /// Precondition: the stream was started and not finished; `data` is not empty.
    virtual asio::awaitable<void> send_chunk(std::string_view data) = 0;
    virtual asio::awaitable<void> finish_stream() = 0;
    /// Aborts a started stream in a way that shows the caller that it is incomplete.
    virtual void abort_stream() = 0;

    /// Returns whether any byte of the response may have reached the caller.
    [[nodiscard]] virtual bool is_started() const noexcept = 0;

    /// Returns when the head of the request arrived, if that is known.
    [[nodiscard]] virtual std::optional<steady_time> get_head_time() const noexcept { return std::nullopt; }

    /// Returns whether the caller is known to have disconnected. A caller that closes its sending side counts as
    /// disconnected.
    [[nodiscard]] virtual bool is_disconnected() const noexcept { return false; }
    /// Sets a function that is called once when the caller disconnects; an empty function removes it.
    virtual void set_on_disconnect(std::function<void()> /*notify*/) {}
};

} // namespace dragonflywell::servers
