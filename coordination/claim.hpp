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

/// Identifies a request that must run at most once: a digest of organisation and idempotency key.
///
/// Two organisations that use the same key get different identifiers.
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

/// Returns a digest that tells requests apart which carry the same idempotency key. Thread safe.
[[nodiscard]] std::uint64_t get_request_digest(std::string_view method, std::string_view target, std::string_view body);

/// A request that asks to be the one that runs.
struct claim_request {
    claim_id id;
    std::uint64_t digest{};
};

/// The answer of a request that ran, as the log keeps it.
struct recorded_response {
    unsigned status{};
    std::string content_type{};
    /// Absent when it was longer than the limit.
    std::optional<std::string> body{};

    friend bool operator==(const recorded_response&, const recorded_response&) = default;
};

/// Returns an answer with its body when that is text of at most `limit_bytes`, else with its status only. Thread safe.
[[nodiscard]] recorded_response make_recorded_response(unsigned status, std::string_view content_type,
                                                       std::string_view body, std::size_t limit_bytes);

/// How a claim ended.
enum class claim_outcome {
    /// The request ran and its answer is known.
    done,
    /// No byte of it was written to a backend server: the key may be claimed again.
    released,
    /// Whether it ran cannot be told.
    unknown,
};

/// What the owner of a claim says about it in the end.
struct claim_settlement {
    claim_id id;
    claim_outcome outcome{claim_outcome::unknown};
    recorded_response response{};
};

/// What one arrival of a request is told.
enum class claim_status {
    /// The claim is this arrival's: run it once.
    acquired,
    running,
    done,
    unknown,
    /// The key was used for another request.
    different_request,
    /// The log could not confirm the claim. Nothing runs.
    log_unavailable,
    /// As many claims are remembered as fit. Nothing runs.
    full,
};

struct claim_result {
    claim_status status{claim_status::log_unavailable};
    /// Set for `done`.
    recorded_response response{};
    /// Set for `won`: after this moment the run may not start any more, since others may soon forget the claim.
    steady_time start_deadline{};
};

} // namespace dragonflywell::coordination

template <>
struct std::hash<dragonflywell::coordination::claim_id> {
    std::size_t operator()(const dragonflywell::coordination::claim_id& id) const noexcept {
        return static_cast<std::size_t>(id.low);
    }
};
