#pragma once

#include <cstdint>
#include <string_view>

namespace dragonflywell::policy {

/// Whether losing the backend server in the middle of a request does harm.
enum class work_class {
    /// Runs at most once, or was promised to an organisation: never on a cheap server.
    guaranteed,
    /// May be run or resumed again elsewhere within its deadline.
    repeatable,
};

/// What decides the class of one request.
struct work_traits {
    /// Whether it may be run again: a model call, or a route marked idempotent.
    bool is_idempotent{false};
    /// Whether its organisation accepts cheap servers.
    bool accepts_cheap_servers{true};
    /// Whether it is suspected of crashing engines; it then runs apart from others anyway.
    bool is_suspect{false};
    /// Whether it has lost a backend server before.
    bool was_interrupted{false};
};

/// Thread safe.
[[nodiscard]] work_class get_work_class(const work_traits& traits) noexcept;
[[nodiscard]] std::string_view get_work_class_name(work_class value) noexcept;

/// Tokens in work, as the cap on the share of cheap servers sees them.
struct cheap_share {
    std::uint64_t cheap_tokens{};
    std::uint64_t all_tokens{};
    /// Greatest share of the tokens that may be on cheap servers, 0 to 1.
    double most{};
};

/// Returns whether work of this class may be given to a cheap server now. Thread safe.
[[nodiscard]] bool may_use_cheap_server(work_class value, const cheap_share& share, std::uint64_t tokens) noexcept;

} // namespace dragonflywell::policy
