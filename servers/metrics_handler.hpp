#pragma once

#include "core/metrics.hpp"
#include "servers/http_handler.hpp"

namespace dragonflywell::servers {

/// Serves the metrics of the process as text. Thread safe.
class metrics_handler final : public http_handler {
public:
    /// Precondition: the registry outlives the handler.
    explicit metrics_handler(const metrics_registry& registry) : m_registry(&registry) {}

    asio::awaitable<void> handle(http_request request, caller_channel& caller) override;
    void on_malformed(http::status /*status*/) override {}

private:
    const metrics_registry* m_registry;
};

} // namespace dragonflywell::servers
