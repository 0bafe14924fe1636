#pragma once

#include "core/metrics.hpp"
#include "servers/caller_codec.hpp"
#include "servers/http_handler.hpp"
#include "servers/request_record.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// Handles requests of callers: decodes each request, runs it and logs the result. Used on one event loop.
class serving_handler final : public http_handler {
public:
    /// Preconditions: state and codec outlive the handler.
    serving_handler(serving_state& state, const caller_codec& codec) : m_state(&state), m_codec(&codec) {}

    asio::awaitable<void> handle(http_request request, caller_channel& caller) override;
    /// Refuses a request whose route or key is wrong, so that its body is not read.
    [[nodiscard]] head_check check_head(const http::request_header<>& head) override;
    void on_malformed(http::status status) override;

private:
    asio::awaitable<void> serve(const caller_request& incoming, request_record& record, caller_channel& caller);
    /// Counts and logs a refusal. Returns the response for it.
    http_response record_refusal(const request_refused& refusal, request_record& record, bool is_started);
    asio::awaitable<void> refuse(const request_refused& refusal, request_record& record, caller_channel& caller);

    serving_state* m_state;
    const caller_codec* m_codec;
    /// Malformed requests are logged once a second, since a caller may send any number of them.
    std::uint64_t m_unlogged_malformed{0};
    steady_time m_next_malformed_line_at{};
};

} // namespace dragonflywell::servers
