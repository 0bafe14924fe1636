#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace dragonflywell::daemon {

/// How long after its end a window is counted to its end: what began before it has been counted by then.
inline constexpr duration usage_settle_time = std::chrono::milliseconds(200);
/// Windows whose counts are kept, of this host and of others; older ones are reported, or too late to be.
inline constexpr std::int64_t retained_usage_windows = 6;

/// When what happens to a window's usage, counted from its end. Everything is a part of the time after which a report
/// is due, so that a shorter one keeps the order.
struct usage_timing {
    /// The host that speaks for a group records what the others have told.
    duration group_record_delay{};
    /// A host that was not told that its counts are recorded records them itself.
    duration fallback_record_delay{};
    /// The figures are fixed, and reported; what is left is for a store or an interface that is away.
    duration finalize_delay{};
};

[[nodiscard]] inline usage_timing make_usage_timing(duration due) {
    constexpr int gather_parts = 9;
    constexpr int patience_parts = 20;
    constexpr int fix_parts = 30;
    constexpr int all_parts = 100;
    return {.group_record_delay = due * gather_parts / all_parts,
            .fallback_record_delay = due * patience_parts / all_parts,
            .finalize_delay = due * fix_parts / all_parts};
}

} // namespace dragonflywell::daemon
