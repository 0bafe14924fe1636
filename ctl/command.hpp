#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"

namespace dragonflywell::ctl {

inline constexpr int exit_ok = 0;
/// The platform or a daemon did not respond, or the command found nothing to report.
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;
/// Another operator published a newer manifest first.
inline constexpr int exit_conflict = 3;

/// Options and streams that every command receives.
struct command_context {
    endpoint platform_log;
    std::vector<endpoint> daemons;
    duration deadline{std::chrono::seconds(5)};
    bool is_json{false};
    /// File to which `report` writes its page; empty when the option is missing.
    std::string html_file;
    std::ostream& out;
    std::ostream& errors;
};

/// One command of dragonflywellctl.
class command {
public:
    command() = default;
    command(const command&) = delete;
    command& operator=(const command&) = delete;
    command(command&&) = delete;
    command& operator=(command&&) = delete;
    virtual ~command() = default;

    /// Returns the one or two words that select the command, such as "manifest publish".
    [[nodiscard]] virtual std::string get_name() const = 0;
    [[nodiscard]] virtual std::string get_summary() const = 0;
    /// Runs the command and returns the exit code. Throws `invalid_input_error` and `error`.
    virtual int run(const command_context& context, const std::vector<std::string>& arguments) = 0;
};

} // namespace dragonflywell::ctl
