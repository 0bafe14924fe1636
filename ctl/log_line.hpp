#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::ctl {

/// One event that a daemon has logged.
struct log_line {
    wall_time moment;
    /// The moment as it was written.
    std::string time;
    std::string host;
    std::string event;
    boost::json::object fields;

    /// Returns a field as text; empty where there is none.
    [[nodiscard]] std::string get_text(std::string_view field) const;
};

/// Reads a line of a daemon's log. What stands before the first brace is ignored, since log collectors put their own
/// prefix there. Returns nothing for a line that is no event. Thread safe.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

/// Returns the events of a whole file. Thread safe.
[[nodiscard]] std::vector<log_line> parse_log(std::string_view text);

} // namespace dragonflywell::ctl
