#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::coordination {

inline constexpr std::string_view claim_stream = "claims/0";
inline constexpr std::string_view claim_batch_type = "claims.batch";

/// Identifies a request that must run at most once: a hash of the organisation and the idempotency key.
///
/// The same key of two organisations gives two different identifiers.
struct claim_id {
    std::uint64_t high{};
    std::uint64_t low{};

    friend auto operator<=>(const claim_id&, const claim_id&) = default;
};

/// Thread safe.
[[nodiscard]] claim_id make_claim_id(const organisation_name& organisation, std::string_view idempotency_key);

/// Returns 32 hexadecimal digits. Thread safe.
[[nodiscard]] std::string format_claim_id(const claim_id& id);

/// Throws `malformed_message_error`. Thread safe.
[[nodiscard]] claim_id parse_claim_id(std::string_view text);

/// Returns a hash of the request that reveals when one idempotency key is used for different requests. Thread safe.
[[nodiscard]] std::uint64_t get_request_digest(std::string_view method, std::string_view target, std::string_view body);

/// A request that wants to acquire the claim of its idempotency key, so that it may run.
struct claim_request {
    claim_id id;
    std::uint64_t digest{};
};

/// The HTTP response of a request that ran, as the log keeps it.
struct recorded_response {
    unsigned status{};
    std::string content_type{};
    /// Absent if it was longer than the limit or not UTF-8 text.
    std::optional<std::string> body{};

    friend bool operator==(const recorded_response&, const recorded_response&) = default;
};

/// Returns a response with its body if the body is UTF-8 text of at most `limit_bytes`, otherwise with the status only.
/// Thread safe.
[[nodiscard]] recorded_response make_recorded_response(unsigned status, std::string_view content_type,
                                                       std::string_view body, std::size_t limit_bytes);

/// The outcome of a claim.
enum class claim_outcome {
    /// The request ran and its response is known.
    done,
    /// No byte of the request was written to a backend server, so the key may be claimed again.
    released,
    /// It is unknown whether the request ran.
    unknown,
};

/// The outcome of a claim as its owner records it.
struct claim_settlement {
    claim_id id;
    claim_outcome outcome{claim_outcome::unknown};
    recorded_response response{};
};

/// The status that one attempt to acquire a claim returns.
enum class claim_status {
    /// The caller owns the claim and runs the request once.
    acquired,
    /// The request runs, or may still run, at the owner of the claim.
    running,
    /// The request ran and its response is known.
    done,
    /// It is unknown whether the request ran.
    unknown,
    /// The key was already used for a request with other content.
    different_request,
    /// The log could not confirm the claim. The request must not run.
    log_unavailable,
    /// The maximum number of claims is stored. The request must not run.
    full,
};

/// The result of one attempt to acquire a claim.
struct claim_result {
    claim_status status{claim_status::log_unavailable};
    /// Set for `done`.
    recorded_response response{};
    /// Set for `acquired`: the run must start before this time, because later the other hosts may expire the claim.
    steady_time start_deadline{};
};

} // namespace dragonflywell::coordination

template <>
struct std::hash<dragonflywell::coordination::claim_id> {
    std::size_t operator()(const dragonflywell::coordination::claim_id& id) const noexcept {
        return static_cast<std::size_t>(id.low);
    }
};
