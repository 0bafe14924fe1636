#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"

namespace dragonflywell::ctl {

inline constexpr int exit_ok = 0;
/// The platform or a daemon did not answer, or what was asked for does not hold.
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;
/// Another operator published first.
inline constexpr int exit_conflict = 3;

/// What every command gets.
struct command_context {
    endpoint platform_log;
    std::vector<endpoint> daemons;
    duration deadline{std::chrono::seconds(5)};
    bool is_json{false};
    /// Where `report` writes its page; empty when it was not given.
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

    /// Returns the words that select it, such as "manifest publish".
    [[nodiscard]] virtual std::string get_name() const = 0;
    [[nodiscard]] virtual std::string get_summary() const = 0;
    /// Returns the exit code. Throws `invalid_input_error`, `error`.
    virtual int run(const command_context& context, const std::vector<std::string>& arguments) = 0;
};

} // namespace dragonflywell::ctl
