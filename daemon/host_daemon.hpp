#pragma once

#include <boost/asio/signal_set.hpp>
#include <memory>

#include "core/metrics.hpp"
#include "daemon/configuration_follower.hpp"
#include "daemon/fleet_controller.hpp"
#include "daemon/host_gossip.hpp"
#include "daemon/host_settings.hpp"
#include "daemon/lease_keeper.hpp"
#include "daemon/server_list_follower.hpp"
#include "daemon/settings_file.hpp"
#include "daemon/stage_controller.hpp"
#include "daemon/usage_recorder.hpp"
#include "daemon/usage_reporter.hpp"
#include "platform/cloud_client.hpp"
#include "platform/engine_codec.hpp"
#include "platform/ingress_codec.hpp"
#include "platform/store_client.hpp"
#include "servers/backend_connection_pool.hpp"
#include "servers/event_loop.hpp"
#include "servers/http_server.hpp"
#include "servers/log_writer.hpp"
#include "servers/metrics_handler.hpp"
#include "servers/ready_handler.hpp"
#include "servers/serving_handler.hpp"

namespace dragonflywell::daemon {

/// All parts of the daemon on one host of the platform. They run on one event loop.
class host_daemon {
public:
    /// `file` is read again on SIGHUP, and when a periodic check finds that it has changed.
    host_daemon(host_settings settings, settings_file file, std::shared_ptr<log_buffer> ring);
    host_daemon(const host_daemon&) = delete;
    host_daemon& operator=(const host_daemon&) = delete;
    host_daemon(host_daemon&&) = delete;
    host_daemon& operator=(host_daemon&&) = delete;
    ~host_daemon();

    /// Serves until a graceful stop is complete.
    /// Throws `boost::system::system_error` when an address cannot be bound.
    void run();

    /// Begins a graceful stop. Called on the event loop.
    void stop();

    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::uint16_t get_caller_port() const { return m_entry_server.get_port(); }

private:
    void listen_to_signals();
    servers::asio::awaitable<void> stop_gracefully(policy::stop_schedule schedule);
    /// Waits until no connection of a caller is left, or until `until` on the clock that includes suspension.
    servers::asio::awaitable<void> wait_for_connections(steady_time until);
    servers::asio::awaitable<void> sleep_until(steady_time until);
    servers::asio::awaitable<void> release_lease(steady_time stop_began_at);
    servers::asio::awaitable<void> record_last_usage();
    servers::asio::awaitable<void> run_maintenance();
    /// Reads the settings file again and applies the settings that need no restart.
    void reload();
    void apply_limits();
    /// Sets the metrics for the age of the configuration and of the server list.
    void update_age_metrics();

    host_settings m_settings;
    settings_file m_file;
    host_clock m_clock;
    /// Differs for each run of the process on this host.
    std::uint64_t m_incarnation;
    std::shared_ptr<spdlog::logger> m_log;
    metrics_registry m_metrics;
    servers::event_loop m_loop;
    servers::log_writer m_log_writer;
    platform::engine_codec m_engine_dialect;
    platform::ingress_codec m_ingress_dialect;
    servers::backend_connection_pool m_connections;
    platform::store_client m_store;
    servers::serving_state m_state;
    configuration_follower m_configuration;
    server_list_follower m_servers;
    platform::cloud_client m_cloud;
    lease_keeper m_lease;
    usage_recorder m_usage_recorder;
    usage_reporter m_usage_reporter;
    fleet_controller m_fleet;
    platform::engine_order_client m_engine_orders;
    stage_controller m_stages;
    host_gossip m_hosts;
    servers::serving_handler m_entry_handler;
    servers::ready_handler m_ready_handler;
    servers::metrics_handler m_metrics_handler;
    servers::http_server m_entry_server;
    servers::http_server m_ready_server;
    servers::http_server m_metrics_server;
    boost::asio::signal_set m_signals;
    bool m_is_lease_released{false};
    bool m_is_last_usage_recorded{false};
};

} // namespace dragonflywell::daemon
