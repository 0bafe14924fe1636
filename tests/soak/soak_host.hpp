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
    /// The daemon's program.
    std::string program;
    /// Where settings and logs go.
    std::string folder;
    endpoint store;
    endpoint reports;
    duration usage_window{};
};

/// One real daemon, its settings, and its own links to the platform. Used on one event loop.
class soak_host {
public:
    soak_host(asio::io_context& loop, invariant_checker& seen, soak_host_options options);

    /// Starts the daemon, or starts it anew once it has ended.
    void start();
    /// Ends it at once.
    void kill();
    /// Asks it to end; it is expected to do so by itself.
    void terminate();
    /// Stops all that it does until `thaw`.
    void freeze();
    void thaw();
    /// Writes its settings anew with another log level and says so.
    void reload();

    /// Looks whether it has ended without being told to.
    void check_alive();
    [[nodiscard]] bool is_running() { return m_process && m_process->is_running(); }
    [[nodiscard]] const endpoint& get_callers() const noexcept { return m_callers; }
    [[nodiscard]] const endpoint& get_ready() const noexcept { return m_ready; }
    [[nodiscard]] const std::string& get_name() const noexcept { return m_options.name; }
    [[nodiscard]] int get_life() const noexcept { return m_life; }

    fault_proxy store_link;
    fault_proxy reports_link;
    /// Whether it answered its last readiness check.
    bool is_ready{false};

private:
    void write_settings(const std::string& level) const;
    [[nodiscard]] std::string get_path(const std::string& what) const;

    invariant_checker* m_seen;
    soak_host_options m_options;
    endpoint m_callers;
    endpoint m_ready;
    endpoint m_metrics;
    endpoint m_hosts;
    std::unique_ptr<child_process> m_process;
    bool m_is_expected{false};
    bool m_is_reloaded{false};
    int m_life{0};
};

} // namespace dragonflywell::soak
