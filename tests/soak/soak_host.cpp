#include "soak/soak_host.hpp"

#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>

#include "support/free_address.hpp"

namespace dragonflywell::soak {

soak_host::soak_host(asio::io_context& loop, invariant_checker& checker, soak_host_options options)
    : store_link(loop, options.store), reports_link(loop, options.reports), m_checker(&checker),
      m_options(std::move(options)), m_callers(testing::find_free_address<asio::ip::tcp>(loop)),
      m_ready(testing::find_free_address<asio::ip::tcp>(loop)),
      m_metrics(testing::find_free_address<asio::ip::tcp>(loop)),
      m_hosts(testing::find_free_address<asio::ip::udp>(loop)) {}

std::string soak_host::get_path(const std::string& what) const {
    return fmt::format("{}/{}.{}", m_options.folder, m_options.name, what);
}

void soak_host::write_settings(const std::string& level) const {
    const auto window_seconds = std::chrono::duration<double>(m_options.usage_window).count();
    std::ofstream(get_path("toml")) << fmt::format(
        R"([host]
name = "{}"
zone = "{}"
address = "127.0.0.1"
is_first_start = {}
[listen]
callers = "{}"
ready = "{}"
metrics = "{}"
hosts = "{}"
[store]
address = "{}"
[orders]
address = "{}"
duties = ["usage"]
[bounds]
server_heartbeat_ms = 1200
contact_ms = 3000
drain_ms = 2000
stop_s = 8
configuration_ms = 2000
lease_ms = 3000
repeats_per_request = 0.2
repeats_besides = 50
repeats_window_s = 10
usage_window_s = {}
usage_due_s = {}
[log]
level = "{}"
)",
        m_options.name, m_options.zone, m_start_count == 0, format_endpoint(m_callers), format_endpoint(m_ready),
        format_endpoint(m_metrics), format_endpoint(m_hosts), format_endpoint(store_link.get_endpoint()),
        format_endpoint(reports_link.get_endpoint()), window_seconds, 2 * window_seconds, level);
}

void soak_host::start() {
    if (is_running()) {
        return;
    }
    write_settings("info");
    m_process = std::make_unique<child_process>(
        std::vector<std::string>{m_options.program, "--config", get_path("toml")}, get_path("log"));
    m_is_expected = true;
    ++m_start_count;
}

void soak_host::kill() {
    m_is_expected = false;
    is_ready = false;
    m_process->send(SIGKILL);
}

void soak_host::terminate() {
    m_is_expected = false;
    m_process->send(SIGTERM);
}

void soak_host::suspend() {
    m_process->send(SIGSTOP);
}

void soak_host::resume() {
    m_process->send(SIGCONT);
}

void soak_host::reload() {
    m_is_reloaded = !m_is_reloaded;
    write_settings(m_is_reloaded ? "debug" : "info");
    m_process->send(SIGHUP);
}

void soak_host::check_alive() {
    if (m_is_expected && !is_running()) {
        m_checker->add_violation(
            fmt::format("{} ended unexpectedly with wait status {:#x}", m_options.name, m_process->get_status()));
        start();
    }
}

} // namespace dragonflywell::soak
