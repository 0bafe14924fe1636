#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string_view>

namespace dragonflywell::policy {

/// What a host can bear. A host of an earlier version does not state it and counts as the smallest.
struct host_capacity {
    std::uint64_t link_bytes_per_second{};
    /// Share of a processor core, in thousandths.
    std::uint32_t core_thousandths{};

    friend auto operator<=>(const host_capacity&, const host_capacity&) = default;
};

/// A host of a group as a candidate for its leadership.
struct leader_candidate {
    std::string_view host;
    host_capacity capacity{};
    bool is_stopping{false};
    /// Whether the store does not answer the host. What a leader reads there, its group learns from it alone.
    bool is_cut_off{false};
};

/// Returns whether `own` leads its group. `others` are the reachable other hosts of the group. The leader is the host
/// with the largest link, the largest share of a core among these, and the first by name among these, of the hosts that
/// the store answers, or of all hosts if it answers none of them. A host that stops does not lead. Hosts that know the
/// same of each other agree on the leader. Thread safe.
[[nodiscard]] bool leads_group(const leader_candidate& own, std::span<const leader_candidate> others);

} // namespace dragonflywell::policy
