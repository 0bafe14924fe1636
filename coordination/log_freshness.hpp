#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/append_log.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

/// When someone last read to the end of a stream, and where that was.
struct log_freshness {
    log_offset end{};
    wall_time read_at;

    friend bool operator==(const log_freshness&, const log_freshness&) = default;
};

/// Thread safe.
[[nodiscard]] std::string encode_log_freshness(const log_freshness& value);

/// Throws `malformed_message_error`. Thread safe.
[[nodiscard]] log_freshness decode_log_freshness(std::string_view text);

/// How this daemon's zone stands to the log.
enum class log_reach : std::uint8_t {
    /// Someone of the zone has read the log within the bound.
    reachable,
    /// Nobody has, as far as other zones tell: nothing can have been revoked meanwhile.
    down_for_all,
    /// Another zone has, or no other zone answers: changes may be in force that are not known here.
    cut_off,
};

/// How old the newest reading may be before the log counts as out of reach.
inline constexpr duration log_reach_bound = std::chrono::seconds(15);

struct log_reach_evidence {
    /// The newest reading known of the own zone, and of any zone.
    std::optional<wall_time> own_zone_read_at;
    std::optional<wall_time> any_zone_read_at;
    /// Whether a daemon of another zone answers. True where there is one zone only.
    bool is_linked{true};
};

/// Judges the evidence. Precondition: `bound` exceeds the interval between two readings. Thread safe.
[[nodiscard]] log_reach judge_log_reach(const log_reach_evidence& evidence, wall_time now, duration bound);

} // namespace dragonflywell::coordination
