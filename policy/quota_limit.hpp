#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"
#include "fleet/quota.hpp"

namespace dragonflywell::policy {

/// By how much the usage of an organisation in any span of `window` may exceed its quota.
struct quota_tolerance {
    duration window{std::chrono::seconds(1)};
    /// Part of what the quota permits in a window.
    double overage{0};
    /// In tokens; does not apply to a quota in requests.
    double slack{0};

    friend bool operator==(const quota_tolerance&, const quota_tolerance&) = default;
};

/// The token bucket of a quota, for all hosts together.
struct quota_limit {
    double rate_per_second{};
    /// Most that is available and granted but not used, together.
    double capacity{};
    /// What the bucket holds after a restart of all hosts.
    double restart_level{};
    /// Grants are whole multiples of it; any amount if it is zero.
    double unit{};
    /// Whether the bucket is empty on the first start of the system. It holds its capacity otherwise.
    bool starts_empty{false};
    /// The requests per second that a server names. Hosts state it to the owner, which may not have heard of it.
    std::optional<double> named{std::nullopt};

    friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/// Returns the bucket whose use exceeds the quota by at most the tolerance, also if all hosts restart twice within a
/// window. A tolerance below a twentieth of the quota is made up for by a smaller burst and rate. Thread safe.
[[nodiscard]] quota_limit make_quota_limit(const fleet::quota& quota, const quota_tolerance& tolerance);

/// Largest limit that a server may name; a larger one cannot be meant.
constexpr double max_server_limit = 1e6;

/// Returns whether a server may name this limit. Thread safe.
[[nodiscard]] bool is_valid_server_limit(double requests_per_second);

/// Returns the bucket of a server that takes this many requests per second from all hosts together. Any 4 s hold 1.25
/// times of that and 2.5 requests. Even at zero a request may be sent every 4 s, since only a response ends the limit.
/// Precondition: valid. Thread safe.
[[nodiscard]] quota_limit make_server_limit(double requests_per_second);

/// Returns the largest multiple of the unit that is not above the amount; the amount itself without a unit. Thread
/// safe.
[[nodiscard]] double get_whole_units(double amount, double unit);

/// Returns what a request uses of a quota. `tokens`: its prompt and maximum output tokens, if it states them. Thread
/// safe.
[[nodiscard]] double get_quota_amount(const fleet::quota& quota, std::optional<std::uint64_t> tokens);

} // namespace dragonflywell::policy
