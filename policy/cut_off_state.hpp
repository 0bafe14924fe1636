#pragma once

#include <atomic>
#include <optional>

#include "core/clock.hpp"
#include "fleet/organisation.hpp"

namespace dragonflywell::policy {

/// Tracks since when this host's availability zone has been cut off from a log that other zones can reach.
///
/// While it is cut off, the host does not learn that an API key was revoked. Thread safe.
class cut_off_state {
public:
    /// Records the result of the latest check. The duration counts from the first of consecutive checks that found the
    /// zone cut off.
    void set_cut_off(bool is_cut_off, steady_time now) noexcept;

    /// Returns how long the zone has been cut off, or nothing while it is not.
    [[nodiscard]] std::optional<duration> get_cut_off_duration(steady_time now) const noexcept;

private:
    static constexpr duration::rep not_cut_off = -1;

    std::atomic<duration::rep> m_since{not_cut_off};
};

/// Returns whether a request of the organisation may run although its API key may have been revoked. Thread safe.
[[nodiscard]] bool may_serve_cut_off(const fleet::organisation& organisation, std::optional<duration> cut_off_for);

} // namespace dragonflywell::policy
