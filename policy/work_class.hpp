#pragma once

#include <cstdint>
#include <string_view>

namespace dragonflywell::policy {

/// Whether a request tolerates the loss of its backend server.
enum class work_class {
    /// Runs at most once, or is guaranteed to an organisation: never placed on a cheap server.
    guaranteed,
    /// May be retried or resumed on another server within its deadline.
    repeatable,
};

/// Properties of a request that determine its class.
struct work_traits {
    /// Whether it may be retried: a model call, or a route marked idempotent.
    bool is_idempotent{false};
    /// Whether its organisation accepts cheap servers.
    bool accepts_cheap_servers{true};
    /// Whether it is suspected of crashing engines. It then runs on a reserved engine anyway.
    bool is_suspect{false};
    /// Whether it has already lost a backend server.
    bool was_interrupted{false};
};

/// Thread safe.
[[nodiscard]] work_class get_work_class(const work_traits& traits) noexcept;
[[nodiscard]] std::string_view get_work_class_name(work_class value) noexcept;

/// Tokens of running requests, as input of the limit for the share of cheap servers.
struct cheap_share {
    std::uint64_t cheap_tokens{};
    std::uint64_t all_tokens{};
    /// Maximum share of the tokens on cheap servers, 0 to 1.
    double most{};
};

/// Returns whether work of this class with this number of tokens may be placed on a cheap server now. Thread safe.
[[nodiscard]] bool may_use_cheap_server(work_class value, const cheap_share& share, std::uint64_t tokens) noexcept;

} // namespace dragonflywell::policy
