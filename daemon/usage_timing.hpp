#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace dragonflywell::daemon {

/// Time after the end of a window until all of its requests are counted.
inline constexpr duration usage_settle_time = std::chrono::milliseconds(200);
/// Time after the begin of a new era of the store until the hosts have written again what the store lost.
inline constexpr duration usage_rewrite_time = std::chrono::milliseconds(2000);
/// Number of windows whose counts are retained, of this host and of others. Older windows are either reported or too
/// late to be reported.
inline constexpr std::int64_t retained_usage_windows = 6;

/// Schedule for the usage of a window, counted from its end. Each step is a fixed fraction of the time until the report
/// is due, so that the steps keep their order however short that time is.
struct usage_timing {
    /// The group leader records the counts that the other hosts have sent.
    duration group_record_delay{};
    /// A host without a confirmation that its counts are recorded records them itself.
    duration fallback_record_delay{};
    /// The figures are finalized and reported. The remaining time allows for an outage of the store or of the reporting
    /// interface.
    duration finalize_delay{};
};

[[nodiscard]] inline usage_timing make_usage_timing(duration due) {
    constexpr int group_record_percent = 9;
    constexpr int fallback_record_percent = 20;
    constexpr int finalize_percent = 30;
    constexpr int whole_percent = 100;
    return {.group_record_delay = due * group_record_percent / whole_percent,
            .fallback_record_delay = due * fallback_record_percent / whole_percent,
            .finalize_delay = due * finalize_percent / whole_percent};
}

} // namespace dragonflywell::daemon
