#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::ctl {

/// One event from the log of a daemon.
struct log_line {
    wall_time moment;
    /// The same time as the text in the log.
    std::string time;
    std::string host;
    std::string event;
    boost::json::object fields;

    /// Returns a field as text; empty when the field is missing.
    [[nodiscard]] std::string get_text(std::string_view field) const;
};

/// Parses a line of a daemon's log. Text before the first brace is ignored, because log collectors add a prefix.
/// Returns nothing for a line that contains no event. Thread safe.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

/// Returns the events of a whole log file and skips all other lines. Thread safe.
[[nodiscard]] std::vector<log_line> parse_log(std::string_view text);

} // namespace dragonflywell::ctl
