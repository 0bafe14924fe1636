#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace dragonflywell::policy {

/// What became of a request, as its caller may rely on it.
enum class request_outcome {
    completed,
    /// No byte of it was written to any backend server.
    not_run,
    /// A backend server had received some of it and did not finish.
    failed_after_start,
    /// Whether it ran cannot be told.
    unknown,
};

/// Why a request was refused. Each has a counter of its own.
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
    /// The time for the whole request ran out after it had started.
    deadline_exceeded,
    /// The daemon has made as many retries as it may for now.
    retry_budget_spent,
    /// A fault of the daemon itself.
    internal_fault,
};

inline constexpr std::size_t refusal_reason_count = static_cast<std::size_t>(refusal_reason::internal_fault) + 1;

/// Why a request was sent to a backend server again.
enum class retry_reason {
    connect_failed,
    stale_connection,
    broken_answer,
    silent_backend_server,
    backend_server_busy,
    /// The answer is not what was agreed: not JSON, a field missing, a position left out.
    malformed_answer,
    /// The answer belongs to another request.
    crossed_answer,
    /// The server began to leave before the request was sent to it.
    server_left,
};

inline constexpr std::size_t retry_reason_count = 8;

/// How a refusal looks to the caller.
struct refusal_response {
    std::string_view code;
    unsigned status{};
};

/// Thread safe.
[[nodiscard]] refusal_response get_refusal_response(refusal_reason reason) noexcept;
[[nodiscard]] std::string_view get_retry_name(retry_reason reason) noexcept;
[[nodiscard]] std::string_view get_outcome_name(request_outcome outcome) noexcept;

} // namespace dragonflywell::policy
