#pragma once

#include <optional>

#include "coordination/claim_queue.hpp"
#include "servers/entry_context.hpp"
#include "servers/http_types.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// Returns whether the caller asks for a request to run at most once over all its arrivals.
[[nodiscard]] bool has_idempotency_key(const http_request& request);

/// The claim of one request that carries an idempotency key. Used by one coroutine.
///
/// A claim that was won and not settled counts as unknown when the object goes, so that nobody runs it again.
class idempotency_claim {
public:
    /// Preconditions: context and request outlive the claim; the request has an idempotency key.
    /// `organisation` is empty for an open route.
    idempotency_claim(entry_context& context, const http_request& request, const organisation_name& organisation);
    idempotency_claim(const idempotency_claim&) = delete;
    idempotency_claim& operator=(const idempotency_claim&) = delete;
    idempotency_claim(idempotency_claim&&) = delete;
    idempotency_claim& operator=(idempotency_claim&&) = delete;
    ~idempotency_claim();

    /// Returns nothing when the request is to be run now, or the recorded answer of its earlier run.
    /// Throws `request_refused` for any other state, and for a key of the wrong form. Blocks no thread.
    asio::awaitable<std::optional<http_response>> acquire();

    /// Throws `request_refused` when the run may not start any more, because the claim is too old.
    void check_start() const;

    /// Records the answer.
    void record_response(const http_response& response);
    /// Frees the key, since no byte of the request was written to a backend server.
    void release_key();

private:
    asio::awaitable<coordination::claim_result> wait_for_answer();
    [[nodiscard]] http_response replay(const coordination::recorded_response& answer) const;

    entry_context* m_context;
    bool m_is_open_route;
    coordination::claim_request m_claim;
    steady_time m_start_before{};
    bool m_is_unsettled{false};
};

} // namespace dragonflywell::servers
