#pragma once

#include <functional>

#include "servers/http_handler.hpp"

namespace dragonflywell::servers {

/// Readiness probe for a load balancer: reports whether this host accepts new connections. Used on one event loop.
class ready_handler final : public http_handler {
public:
    explicit ready_handler(std::function<bool()> is_ready) : m_is_ready(std::move(is_ready)) {}

    asio::awaitable<void> handle(http_request request, caller_channel& caller) override;
    void on_malformed(http::status /*status*/) override {}

private:
    std::function<bool()> m_is_ready;
};

} // namespace dragonflywell::servers
