#pragma once

#include <optional>

#include "coordination/claim_queue.hpp"
#include "servers/entry_context.hpp"
#include "servers/http_types.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// Returns whether the request has an idempotency key, by which its caller asks that it runs at most once however often
/// it is sent.
[[nodiscard]] bool has_idempotency_key(const http_request& request);

/// The claim of the idempotency key of one request. Used by one coroutine.
///
/// If a claim was acquired and is not settled before the object is destroyed, the outcome is recorded as unknown, so
/// that the request is not run again.
class idempotency_claim {
public:
    /// Preconditions: context and request outlive the claim; the request has an idempotency key. `organisation` is
    /// empty for a public route.
    idempotency_claim(entry_context& context, const http_request& request, const organisation_name& organisation);
    idempotency_claim(const idempotency_claim&) = delete;
    idempotency_claim& operator=(const idempotency_claim&) = delete;
    idempotency_claim(idempotency_claim&&) = delete;
    idempotency_claim& operator=(idempotency_claim&&) = delete;
    ~idempotency_claim();

    /// Acquires the claim. Returns nothing when the request is to be run now, or the recorded response of its earlier
    /// run. Throws `request_refused` for any other state of the key, and for a malformed key. Suspends the coroutine
    /// without blocking a thread.
    asio::awaitable<std::optional<http_response>> acquire();

    /// Throws `request_refused` when the claim is too old to start the run.
    void check_start() const;

    /// Settles the claim with the response.
    void record_response(const http_response& response);
    /// Releases the key. Precondition: no byte of the request was written to a backend server.
    void release_key();

private:
    asio::awaitable<coordination::claim_result> wait_for_result();
    [[nodiscard]] http_response replay(const coordination::recorded_response& recorded) const;

    entry_context* m_context;
    bool m_is_public_route;
    coordination::claim_request m_claim;
    steady_time m_start_before{};
    bool m_is_unsettled{false};
};

} // namespace dragonflywell::servers
