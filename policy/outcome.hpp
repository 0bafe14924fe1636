#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace dragonflywell::policy {

/// Outcome of a request that is reported to its caller, who may rely on it.
enum class request_outcome {
    completed,
    /// No byte of the request was written to any backend server.
    not_run,
    /// A part of the request was written to a backend server, which did not complete it.
    failed_after_start,
    /// It is unknown whether the request ran.
    unknown,
};

/// Reason why a request was refused. Each reason has its own counter.
enum class refusal_reason {
    malformed_request,
    header_too_large,
    body_too_large,
    missing_key,
    unknown_key,
    revoked_key,
    no_such_route,
    method_not_allowed,
    unknown_model,
    over_cost_limit,
    /// The organisation has used its quota of all hosts together.
    over_quota,
    deadline_not_feasible,
    queue_full,
    no_backend_server,
    quarantined_request,
    log_unavailable,
    zone_cut_off,
    duplicate_running,
    duplicate_done,
    duplicate_unknown,
    idempotency_key_reused,
    stopping,
    not_ready,
    backend_server_failed,
    /// The deadline of the whole request passed after the request had started.
    deadline_exceeded,
    /// The retry budget of the daemon is exhausted.
    retry_budget_spent,
    /// An internal error of the daemon.
    internal_fault,
};

inline constexpr std::size_t refusal_reason_count = static_cast<std::size_t>(refusal_reason::internal_fault) + 1;

/// Reason why a request was retried on a backend server.
enum class retry_reason {
    connect_failed,
    stale_connection,
    broken_answer,
    silent_backend_server,
    backend_server_busy,
    /// The answer violates the protocol: it is not JSON, lacks a field, or skips a position of the stream.
    malformed_answer,
    /// The answer belongs to another request.
    crossed_answer,
    /// The server started to shut down before the request was sent to it.
    server_left,
};

inline constexpr std::size_t retry_reason_count = 8;

/// Error code and HTTP status of a refusal.
struct refusal_response {
    std::string_view code;
    unsigned status{};
};

/// Thread safe.
[[nodiscard]] refusal_response get_refusal_response(refusal_reason reason) noexcept;
[[nodiscard]] std::string_view get_retry_name(retry_reason reason) noexcept;
[[nodiscard]] std::string_view get_outcome_name(request_outcome outcome) noexcept;

} // namespace dragonflywell::policy
