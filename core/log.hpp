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
    /// Name of the host, written into each JSON line.
    std::string host{};
    /// Where lines wait to be written by someone else; without it they go to standard error at once.
    std::shared_ptr<log_buffer> buffer{};
};

/// Sets level and format for every logger made afterwards. Call once, before other threads start.
void set_log_options(const log_options& options);

/// Sets the least level that is written, for all loggers. Safe from any thread.
/// Precondition: `level` is trace, debug, info, warn or error.
void set_log_level(const std::string& level);

/// Returns the logger of one part. Each of its lines starts with the part's name. Safe from any thread.
[[nodiscard]] std::shared_ptr<spdlog::logger> get_logger(std::string_view part);

} // namespace dragonflywell
