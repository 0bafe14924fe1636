#pragma once

#include <memory>
#include <optional>
#include <string>

#include "soak/child_process.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/invariant_checker.hpp"

namespace dragonflywell::soak {

struct soak_host_options {
    std::string name;
    std::string zone;
    /// Path of the daemon program.
    std::string program;
    /// Folder for settings and logs.
    std::string folder;
    endpoint store;
    endpoint reports;
    duration usage_window{};
};

/// One real daemon with its settings and its own links to the platform. Not thread safe: it is used on one event loop.
class soak_host {
public:
    soak_host(asio::io_context& loop, invariant_checker& checker, soak_host_options options);

    /// Starts the daemon if it is not running.
    void start();
    /// Kills the daemon with SIGKILL.
    void kill();
    /// Requests a graceful shutdown with SIGTERM.
    void terminate();
    /// Suspends the daemon with SIGSTOP until `resume`.
    void suspend();
    void resume();
    /// Writes settings with another log level and makes the daemon reload them with SIGHUP.
    void reload();

    /// Records a violation if the daemon has ended unexpectedly, and starts it again.
    void check_alive();
    [[nodiscard]] bool is_running() { return m_process && m_process->is_running(); }
    [[nodiscard]] const endpoint& get_callers() const noexcept { return m_callers; }
    [[nodiscard]] const endpoint& get_ready() const noexcept { return m_ready; }
    [[nodiscard]] const endpoint& get_metrics() const noexcept { return m_metrics; }
    [[nodiscard]] const std::string& get_name() const noexcept { return m_options.name; }
    [[nodiscard]] int get_start_count() const noexcept { return m_start_count; }

    fault_proxy store_link;
    fault_proxy reports_link;
    /// Whether the last readiness check succeeded.
    bool is_ready{false};

private:
    void write_settings(const std::string& level) const;
    [[nodiscard]] std::string get_path(const std::string& what) const;

    invariant_checker* m_checker;
    soak_host_options m_options;
    endpoint m_callers;
    endpoint m_ready;
    endpoint m_metrics;
    endpoint m_hosts;
    std::unique_ptr<child_process> m_process;
    bool m_is_expected{false};
    bool m_is_reloaded{false};
    int m_start_count{0};
};

} // namespace dragonflywell::soak
