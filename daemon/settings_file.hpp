#pragma once

#include <string>
#include <vector>

#include "daemon/host_settings.hpp"

namespace dragonflywell::daemon {

/// The settings file of a host, which the platform may replace at any moment, with a signal or without one.
/// Not thread safe.
class settings_file {
public:
    explicit settings_file(std::string path) : m_path(std::move(path)) {}

    /// Reads and checks the file. Throws `invalid_input_error` that names every problem.
    [[nodiscard]] host_settings read();

    /// Returns whether the file is another one than was read last. A file that cannot be read has not changed: it is
    /// looked at again.
    [[nodiscard]] bool has_changed() const;

    [[nodiscard]] const std::string& get_path() const noexcept { return m_path; }

private:
    std::string m_path;
    std::string m_text;
};

/// Returns the sections that differ and are put in force by the next start only. Thread safe.
[[nodiscard]] std::vector<std::string> list_sections_for_restart(const host_settings& before,
                                                                 const host_settings& after);

} // namespace dragonflywell::daemon
