#pragma once

#include "policy/attempt_history.hpp"
#include "servers/backend_exchange.hpp"
#include "servers/caller_channel.hpp"
#include "servers/entry_context.hpp"
#include "servers/model_request.hpp"
#include "servers/request_refused.hpp"
#include "servers/response_assembler.hpp"

namespace dragonflywell::servers {

/// One request to a model. It is placed on an engine, resumed or run again when the engine fails, and billed once for
/// the delivered tokens. Used by one coroutine.
class model_call {
public:
    /// Precondition: context and request outlive the call. Throws `request_refused` for a malformed request.
    model_call(entry_context& context, const http_request& request, organisation_name organisation);

    /// Delivers the whole response. When the caller disconnects, the stream on the engine is cancelled and the
    /// delivered tokens are billed. Throws `request_refused`, `caller_disconnected_error`.
    asio::awaitable<void> run(caller_channel& caller);

private:
    asio::awaitable<std::unique_ptr<admission_controller::permit>> admit(caller_channel& caller);
    void require_not_quarantined() const;
    void record_engine_crash();
    asio::awaitable<void> run_attempts(caller_channel& caller);
    /// Runs the request on one engine. If the connection fails, resumes the same stream there once over a new
    /// connection.
    asio::awaitable<std::optional<exchange_failed_error>> run_on(const fleet::backend_server& server,
                                                                 caller_channel& caller);
    /// Runs one exchange and delivers its events. Returns the failure if the response is not complete.
    asio::awaitable<std::optional<exchange_failed_error>> run_exchange(const fleet::backend_server& server,
                                                                       const http_request& request,
                                                                       bool may_reuse_connection,
                                                                       caller_channel& caller);
    asio::awaitable<void> read_response(backend_exchange& exchange, caller_channel& caller);
    asio::awaitable<void> deliver(const server_sent_event& event, caller_channel& caller);
    asio::awaitable<void> finish(caller_channel& caller);
    asio::awaitable<void> cancel_stream(const fleet::backend_server& server);
    [[nodiscard]] policy::demand_key get_demand_key() const;
    [[nodiscard]] const fleet::backend_server& choose_engine(const active_manifest& manifest);
    [[nodiscard]] http_request make_engine_request(const fleet::backend_server& server);
    [[nodiscard]] http_request make_stream_request(const fleet::backend_server& server, http::verb method) const;
    [[nodiscard]] http_response make_complete_response() const;
    [[nodiscard]] exchange_options get_exchange_options(bool may_reuse_connection) const;
    void require_time_left() const;
    void record_usage();

    entry_context* m_context;
    const http_request* m_request;
    organisation_name m_organisation;
    model_request m_model_request;
    steady_time m_arrived_at;
    policy::attempt_history m_history{true};
    response_assembler m_response;
    std::string m_stream_id;
    /// Response of an engine that rejects the request as invalid; it is passed on to the caller.
    std::optional<http_response> m_rejection;
    /// Number of tokens that were written to the caller.
    std::uint64_t m_delivered_tokens{0};
    bool m_is_delivery_complete{false};
    /// Whether the current exchange received a response header, and whether the engine started to stream.
    bool m_has_header{false};
    bool m_has_stream{false};
};

} // namespace dragonflywell::servers
