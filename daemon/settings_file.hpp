#pragma once

#include <string>
#include <vector>

#include "daemon/host_settings.hpp"

namespace dragonflywell::daemon {

/// The settings file of a host. The platform may replace it at any time, with or without sending a signal.
/// Not thread safe.
class settings_file {
public:
    /// `fallback` is the capacity of the host if the file states none.
    explicit settings_file(std::string path, const policy::host_capacity& fallback = default_capacity)
        : m_path(std::move(path)), m_fallback(fallback) {}

    /// Reads and validates the file. Throws `invalid_input_error` that lists every problem.
    [[nodiscard]] host_settings read();

    /// Returns whether the content differs from what was read last. A file that cannot be read counts as unchanged: the
    /// next check reads it again.
    [[nodiscard]] bool has_changed() const;

    [[nodiscard]] const std::string& get_path() const noexcept { return m_path; }

private:
    std::string m_path;
    policy::host_capacity m_fallback;
    std::string m_text;
};

/// Returns the sections that differ and that only a restart applies. Thread safe.
[[nodiscard]] std::vector<std::string> list_sections_for_restart(const host_settings& before,
                                                                 const host_settings& after);

} // namespace dragonflywell::daemon
