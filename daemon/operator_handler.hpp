#pragma once

#include <functional>

#include "core/metrics.hpp"
#include "core/rcu_cell.hpp"
#include "daemon/fleet_status.hpp"
#include "servers/entry_context.hpp"
#include "servers/http_handler.hpp"

namespace dragonflywell::daemon {

/// HTTP endpoints for operators: /healthz, /readyz, /metrics and /status. Thread safe.
class operator_handler final : public servers::http_handler {
public:
    /// Preconditions: the references outlive the handler; `is_ready` may be called from any thread.
    operator_handler(metrics_registry& metrics, servers::entry_context& context, const rcu_cell<fleet_status>& fleet,
                     host_name host, std::function<bool()> is_ready);

    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

private:
    [[nodiscard]] servers::http_response answer(const servers::http_request& request) const;
    [[nodiscard]] std::string get_status() const;

    metrics_registry* m_metrics;
    servers::entry_context* m_context;
    const rcu_cell<fleet_status>* m_fleet;
    host_name m_host;
    std::function<bool()> m_is_ready;
};

} // namespace dragonflywell::daemon
