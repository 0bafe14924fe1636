#pragma once

#include <functional>
#include <string_view>

#include "core/error.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// The caller closed its connection or does not take its answer any more.
class caller_disconnected_error : public error {
public:
    using error::error;
};

/// Status and headers of an answer that is sent piece by piece.
using stream_head = http::response<http::empty_body>;

/// Returns the head of a successful stream.
[[nodiscard]] inline stream_head make_stream_head(std::string_view content_type) {
    stream_head head(http::status::ok, 11);
    head.set(http::field::content_type, content_type);
    head.set(http::field::cache_control, "no-cache");
    return head;
}

/// The way back to one caller. All functions throw `caller_disconnected_error`. One request at a time; not thread safe.
class caller_channel {
public:
    caller_channel() = default;
    caller_channel(const caller_channel&) = delete;
    caller_channel& operator=(const caller_channel&) = delete;
    caller_channel(caller_channel&&) = delete;
    caller_channel& operator=(caller_channel&&) = delete;
    virtual ~caller_channel() = default;

    /// Sends a whole answer.
    virtual asio::awaitable<void> send(http_response response) = 0;

    /// Starts an answer whose length is not known. Precondition: nothing of an answer was sent.
    virtual asio::awaitable<void> start_stream(stream_head head) = 0;
    /// Precondition: the stream was started and not finished; `data` is not empty.
    virtual asio::awaitable<void> send_chunk(std::string_view data) = 0;
    virtual asio::awaitable<void> finish_stream() = 0;
    /// Ends a started stream so that the caller can see that it is not whole.
    virtual void abort_stream() = 0;

    /// Returns whether a byte of the answer may have reached the caller.
    [[nodiscard]] virtual bool is_started() const noexcept = 0;

    /// Returns whether the caller is known to have left. A caller that ends its sending side counts as one that left.
    [[nodiscard]] virtual bool is_disconnected() const noexcept { return false; }
    /// Has `notify` called once when the caller leaves; an empty function ends that.
    virtual void set_on_disconnect(std::function<void()> /*notify*/) {}
};

} // namespace dragonflywell::servers
