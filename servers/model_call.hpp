#pragma once

#include <set>

#include "servers/backend_exchange.hpp"
#include "servers/caller_channel.hpp"
#include "servers/entry_context.hpp"
#include "servers/event_stream_parser.hpp"
#include "servers/model_request.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// One request to a model: placed on an engine, resumed or run again when the engine fails, and billed once for what
/// was delivered. Used by one coroutine.
class model_call {
public:
    /// Precondition: context and request outlive the call. Throws `request_refused` for a malformed request.
    model_call(entry_context& context, const http_request& request, organisation_name organisation);

    /// Delivers the whole answer. Throws `request_refused`, `caller_gone_error`.
    asio::awaitable<void> run(caller_channel& caller);

private:
    asio::awaitable<void> run_attempts(caller_channel& caller);
    asio::awaitable<void> run_on(const fleet::backend_server& server, caller_channel& caller);
    asio::awaitable<void> deliver(const server_sent_event& event, caller_channel& caller);
    asio::awaitable<void> finish(caller_channel& caller);
    [[nodiscard]] policy::demand_key get_demand_key() const;
    [[nodiscard]] const fleet::backend_server& choose_engine(const fleet::manifest& manifest);
    [[nodiscard]] http_request make_engine_request(const fleet::backend_server& server) const;
    [[nodiscard]] http_response make_whole_answer() const;
    void bill();

    entry_context* m_context;
    const http_request* m_request;
    organisation_name m_organisation;
    model_request m_model_request;
    steady_time m_arrived;
    std::set<backend_server_name> m_tried;

    /// Text that the caller has, or will get, and how many tokens it is.
    std::string m_text;
    std::uint64_t m_delivered_tokens{0};
    std::uint64_t m_prompt_tokens{0};
    std::string m_finish_reason;
    bool m_is_complete{false};
    bool m_reached_engine{false};
    bool m_is_billed{false};
};

} // namespace dragonflywell::servers
