#include "policy/outcome.hpp"

namespace dragonflywell::policy {

refusal_response get_refusal_response(refusal_reason reason) noexcept {
    constexpr std::array<refusal_response, refusal_reason_count> forms{{
        {.code = "malformed_request", .status = 400},
        {.code = "header_too_large", .status = 431},
        {.code = "body_too_large", .status = 413},
        {.code = "missing_key", .status = 401},
        {.code = "unknown_key", .status = 401},
        {.code = "revoked_key", .status = 401},
        {.code = "no_such_route", .status = 404},
        {.code = "method_not_allowed", .status = 405},
        {.code = "unknown_model", .status = 404},
        {.code = "over_cost_limit", .status = 429},
        {.code = "over_quota", .status = 429},
        {.code = "deadline_not_feasible", .status = 503},
        {.code = "queue_full", .status = 503},
        {.code = "no_backend_server", .status = 503},
        {.code = "quarantined_request", .status = 422},
        {.code = "log_unavailable", .status = 503},
        {.code = "zone_cut_off", .status = 503},
        {.code = "duplicate_running", .status = 409},
        {.code = "duplicate_done", .status = 409},
        {.code = "duplicate_unknown", .status = 409},
        {.code = "idempotency_key_reused", .status = 422},
        {.code = "stopping", .status = 503},
        {.code = "not_ready", .status = 503},
        {.code = "backend_server_failed", .status = 502},
        {.code = "deadline_exceeded", .status = 504},
        {.code = "retry_budget_spent", .status = 503},
        {.code = "internal_fault", .status = 500},
    }};
    return forms.at(static_cast<std::size_t>(reason));
}

std::string_view get_retry_name(retry_reason reason) noexcept {
    constexpr std::array<std::string_view, retry_reason_count> names{
        "connect_failed",      "stale_connection", "broken_answer",  "silent_backend_server",
        "backend_server_busy", "malformed_answer", "crossed_answer", "server_left"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view get_outcome_name(request_outcome outcome) noexcept {
    switch (outcome) {
    case request_outcome::completed:
        return "completed";
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::failed_after_start:
        return "failed_after_start";
    case request_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace dragonflywell::policy
