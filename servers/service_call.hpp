#pragma once

#include "policy/attempt_history.hpp"
#include "servers/backend_choice.hpp"
#include "servers/backend_exchange.hpp"
#include "servers/caller_channel.hpp"
#include "servers/entry_context.hpp"
#include "servers/idempotency_claim.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// One request to a plain service. Used by one coroutine.
class service_call {
public:
    /// Precondition: context, request and route outlive the call. The route may belong to an older manifest.
    service_call(entry_context& context, const http_request& request, const fleet::service_route& route);

    /// Sends the request to an instance of the service and sends the whole response to the caller. Throws
    /// `request_refused`, `caller_disconnected_error`.
    asio::awaitable<void> run(caller_channel& caller);

private:
    asio::awaitable<http_response> run_claimed();
    asio::awaitable<http_response> exchange_with_retries();
    asio::awaitable<http_response> exchange(const fleet::backend_server& server);
    /// Checks the key and the deadline and chooses the server of the next attempt. Throws `request_refused`.
    [[nodiscard]] const fleet::backend_server& prepare_attempt(const active_manifest& manifest);
    void check_key(const fleet::manifest& manifest);
    [[nodiscard]] work_requirements get_work_requirements(const fleet::manifest& manifest) const;

    entry_context* m_context;
    const http_request* m_request;
    const fleet::service_route* m_route;
    std::optional<organisation_name> m_organisation;
    steady_time m_arrived_at;
    policy::attempt_history m_history;
    bool m_has_run{false};
    /// Set for a request with an idempotency key on a route that is not idempotent.
    std::optional<idempotency_claim> m_claim;
};

} // namespace dragonflywell::servers
