#pragma once

#include <concepts>
#include <cstdint>
#include <spdlog/logger.h>
#include <string>
#include <string_view>

#include "core/clock.hpp"

namespace dragonflywell {

/// One structured log line: an event name, and fields in the order in which they were added. Not thread safe.
class log_event {
public:
    /// `name`: what happened, such as "request_refused".
    explicit log_event(std::string_view name);

    log_event& add(std::string_view field, std::string_view value);
    log_event& add(std::string_view field, const char* value) { return add(field, std::string_view(value)); }
    log_event& add(std::string_view field, double value);
    log_event& add(std::string_view field, bool value);
    log_event& add(std::string_view field, std::integral auto value) {
        return add_number(field, std::to_string(value));
    }
    /// Adds a duration in milliseconds; the name of the field should end with `_ms`.
    log_event& add(std::string_view field, duration value);

    /// Writes the line if the logger is enabled for the level.
    void write(spdlog::logger& log, spdlog::level::level_enum level) const;

    /// Returns the line as a JSON object.
    [[nodiscard]] std::string get_text() const { return m_text + "}"; }

private:
    log_event& add_number(std::string_view field, std::string_view digits);
    void add_name(std::string_view field);

    std::string m_text;
};

} // namespace dragonflywell
