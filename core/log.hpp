#pragma once

#include <memory>
#include <spdlog/logger.h>
#include <string>
#include <string_view>

#include "core/log_buffer.hpp"

namespace dragonflywell {

enum class log_format { text, json_lines };

struct log_options {
    std::string level{"info"};
    log_format format{log_format::text};
    /// Name of the host, which each JSON line contains.
    std::string host{};
    /// Buffer that receives the lines, for another component to write; without it, lines go to standard error at once.
    std::shared_ptr<log_buffer> buffer{};
};

/// Configures level, format and output of every logger that is created afterwards. Call once, before other threads
/// start.
void set_log_options(const log_options& options);

/// Sets the lowest level that is written, for all loggers. Thread safe.
/// Precondition: `level` is trace, debug, info, warn or error.
void set_log_level(const std::string& level);

/// Returns a logger for one part of the program. Each of its lines contains the part's name. Thread safe.
[[nodiscard]] std::shared_ptr<spdlog::logger> get_logger(std::string_view part);

} // namespace dragonflywell
