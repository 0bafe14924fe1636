#pragma once

#include <atomic>

#include "core/log.hpp"
#include "servers/entry_context.hpp"
#include "servers/http_handler.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// Handles requests of callers: finds the route, checks the key and runs the request as a model call or a service call.
/// Thread safe.
class entry_handler final : public http_handler {
public:
    /// Precondition: `context` outlives the handler.
    explicit entry_handler(entry_context& context);

    asio::awaitable<void> handle(http_request request, caller_channel& caller) override;
    void on_malformed(http::status status) override;

    /// Refuses new requests from now on; running requests continue.
    void set_stopping() noexcept { m_is_stopping = true; }

private:
    asio::awaitable<void> dispatch(const http_request& request, caller_channel& caller);
    asio::awaitable<void> send_refusal(const request_refused& refusal, caller_channel& caller);

    entry_context* m_context;
    std::shared_ptr<spdlog::logger> m_log;
    std::atomic<bool> m_is_stopping{false};
};

} // namespace dragonflywell::servers
