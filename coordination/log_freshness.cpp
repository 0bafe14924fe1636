#include "coordination/log_freshness.hpp"

#include <charconv>
#include <chrono>

#include "core/error.hpp"

namespace dragonflywell::coordination {

namespace {

/// Takes a number off the front of `text`.
std::uint64_t take_number(std::string_view& text) {
    std::uint64_t number = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (fault != std::errc{}) {
        throw malformed_message_error("freshness of the log is not a pair of numbers");
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return number;
}

bool is_within(const std::optional<wall_time>& read_at, wall_time now, duration bound) {
    return read_at && now - *read_at <= bound;
}

} // namespace

std::string encode_log_freshness(const log_freshness& value) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::microseconds>(value.read_at.time_since_epoch());
    return std::to_string(value.end) + " " + std::to_string(since_epoch.count());
}

log_freshness decode_log_freshness(std::string_view text) {
    log_freshness value;
    value.end = take_number(text);
    if (!text.starts_with(' ')) {
        throw malformed_message_error("freshness of the log is not a pair of numbers");
    }
    text.remove_prefix(1);
    value.read_at = wall_time(std::chrono::microseconds(take_number(text)));
    if (!text.empty()) {
        throw malformed_message_error("freshness of the log is followed by something else");
    }
    return value;
}

log_reach judge_log_reach(const log_reach_evidence& evidence, wall_time now, duration bound) {
    if (is_within(evidence.own_zone_read_at, now, bound)) {
        return log_reach::reachable;
    }
    const bool is_read_elsewhere = is_within(evidence.any_zone_read_at, now, bound);
    return is_read_elsewhere || !evidence.is_linked ? log_reach::cut_off : log_reach::down_for_all;
}

} // namespace dragonflywell::coordination
