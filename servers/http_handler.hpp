#pragma once

#include "servers/caller_channel.hpp"

namespace dragonflywell::servers {

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

    /// Called when a malformed request was received. `status` is the status of the response to the caller.
    virtual void on_malformed(http::status status) = 0;
};

} // namespace dragonflywell::servers
