#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "core/metrics.hpp"
#include "daemon/control_tasks.hpp"
#include "daemon/control_thread.hpp"
#include "daemon/daemon_settings.hpp"
#include "daemon/operator_handler.hpp"
#include "servers/entry_handler.hpp"
#include "servers/http_server.hpp"

namespace dragonflywell::daemon {

/// One entry host: all parts of the daemon, wired together.
///
/// Thread safety: `start`, `stop` and the destructor not at the same time; the other functions from any thread.
class daemon {
public:
    explicit daemon(daemon_settings settings);
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;
    ~daemon();

    /// Binds the listening sockets and starts all threads. Throws `boost::system::system_error` when an address cannot
    /// be bound.
    void start();

    /// Stops gracefully: fails the readiness check, continues to serve during the notice period, then refuses new
    /// requests, waits for running ones up to the grace period, and writes the usage. Blocks until all threads have
    /// ended. Idempotent.
    void stop();
    /// Ends the notice period of a stop early. Thread safe.
    void end_notice() noexcept { m_is_notice_over = true; }

    [[nodiscard]] std::uint16_t get_caller_port() const { return m_entry_server.get_port(); }
    [[nodiscard]] std::uint16_t get_operator_port() const { return m_operator_server.get_port(); }
    [[nodiscard]] bool is_ready() const;
    /// Returns what this process has counted for billing.
    [[nodiscard]] coordination::usage_table get_usage() const { return m_usage.get_all(); }

private:
    [[nodiscard]] std::vector<boost::asio::io_context*> get_worker_contexts() const;
    void wait_while(const std::function<bool()>& is_busy, duration longest);

    daemon_settings m_settings;
    std::shared_ptr<spdlog::logger> m_log;
    host_clock m_clock;
    metrics_registry m_metrics;
    rcu_cell<servers::active_manifest> m_manifest;
    coordination::usage_meter m_usage;
    coordination::claim_queue m_claims;
    policy::two_choice_placement m_placement;
    servers::backend_connection_pool m_connections;
    servers::backend_load_table m_loads;
    servers::request_counters m_counters;
    servers::admission_controller m_admission;
    policy::retry_budget m_retries;
    policy::quarantine m_suspects{{}};
    policy::cut_off_state m_cut_off;
    shared_fleet_state m_fleet;
    servers::entry_context m_context;
    servers::entry_handler m_entry_handler;
    operator_handler m_operator_handler;
    std::vector<std::unique_ptr<boost::asio::io_context>> m_workers;
    boost::asio::io_context m_operator_context;
    servers::http_server m_entry_server;
    servers::http_server m_operator_server;
    control_task_context m_task_context;
    std::vector<std::unique_ptr<control_thread>> m_control_threads;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_is_stopping{false};
    std::atomic<bool> m_is_notice_over{false};
};

} // namespace dragonflywell::daemon
