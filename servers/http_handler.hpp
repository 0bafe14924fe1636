#pragma once

#include <optional>

#include "core/clock.hpp"
#include "servers/caller_channel.hpp"

namespace dragonflywell::servers {

/// What a handler says of a request whose head has arrived and whose body has not been read.
struct head_check {
    /// The response that refuses the request as not run; nothing if the body is to be read.
    std::optional<http_response> refusal;
    /// How long the request may take from its head on, if the handler knows.
    std::optional<duration> time_limit;
};

/// Handles the requests of one listener. Thread safe: connections call it from several threads at once.
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    http_handler(http_handler&&) = delete;
    http_handler& operator=(http_handler&&) = delete;
    virtual ~http_handler() = default;

    /// Handles one request and sends the response through the channel.
    virtual asio::awaitable<void> handle(http_request request, caller_channel& caller) = 0;

    /// Called after the head of a request with a body, before any of the body is read.
    [[nodiscard]] virtual head_check check_head(const http::request_header<>& /*head*/) { return {}; }

    /// Called when a malformed request, or one for which there is no room (503), was refused. `status` is the status of
    /// the response to the caller.
    virtual void on_malformed(http::status status) = 0;
};

} // namespace dragonflywell::servers
