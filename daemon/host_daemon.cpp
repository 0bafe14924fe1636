#include "daemon/host_daemon.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

#include "core/error.hpp"
#include "core/hash.hpp"
#include "core/log_event.hpp"
#include "core/version.hpp"
#include "daemon/usage_timing.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

using boost::asio::co_spawn;
using boost::asio::detached;

constexpr duration maintenance_interval = std::chrono::seconds(1);
/// Largest delay before a host acquires a free lease; it differs between hosts. A new holder's digest reaches the
/// others within half of it.
constexpr duration max_acquisition_jitter = std::chrono::seconds(1);
/// Interval between two checks whether the settings file has changed.
constexpr duration settings_check_interval = std::chrono::seconds(5);
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
/// Longest sleep during a stop, because a timer does not count the time for which the host is suspended.
constexpr duration max_stop_sleep = std::chrono::milliseconds(500);

/// Time that live servers may need to register again, counted from the recovery of the store.
constexpr duration max_reregistration_time = std::chrono::milliseconds(2000);
/// Smallest number of missed heartbeats before an entry expires; one may be in flight when the store fails.
constexpr int min_missed_heartbeats = 2;
/// Part of the recovery bound that is left for learning that a server has left.
constexpr duration recovery_margin = std::chrono::milliseconds(500);

fleet::list_reachability_options get_contact_options(const host_bounds& bounds) {
    // The store may have recovered up to one circuit breaker pause after the earliest possible time.
    const duration wanted = max_reregistration_time + policy::circuit_breaker_options{}.max_backoff;
    return {.recovery_grace = std::min(wanted, bounds.recovery - recovery_margin),
            .min_outage = bounds.server_heartbeat * min_missed_heartbeats};
}

servers::serving_options get_serving_options(const host_settings& settings, std::uint64_t incarnation,
                                             steady_time now) {
    return {.own_host = settings.name.value(),
            .own_zone = settings.zone,
            .incarnation = incarnation,
            .quota_tolerance = settings.quota_tolerance,
            .is_first_start = settings.is_first_start,
            .usage_window = settings.bounds.usage_window,
            .fallback_record_delay = make_usage_timing(settings.bounds.usage_report).fallback_record_delay,
            .retries_per_request = settings.bounds.retries_per_request,
            .base_retries = settings.bounds.base_retries,
            .retry_window = settings.bounds.retry_window,
            .eligibility = {.list_reachability = get_contact_options(settings.bounds),
                            .drain_bound = settings.bounds.drain},
            .started_at = now,
            .learns_server_speeds = settings.learns_server_speeds};
}

/// Options of an address for probes: small heads, no body, few connections.
servers::http_server_options make_probe_options(const endpoint& listen) {
    constexpr std::uint32_t header_bytes = 4096;
    return {.listen = listen,
            .limits = {.header_limit_bytes = header_bytes,
                       .body_limit_bytes = 0,
                       .io_timeout = std::chrono::seconds(3),
                       .idle_timeout = std::chrono::seconds(60)},
            .limiter = get_probe_limits()};
}

std::uint64_t get_incarnation(const clock_source& time) {
    const auto since_epoch = time.wall_now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

coordination::store_lease_options get_lease_options(const host_settings& settings, std::uint64_t incarnation) {
    const double jitter_fraction = hash_to_unit_interval(settings.name.value(), incarnation);
    return {.holder = settings.name.value(),
            .incarnation = incarnation,
            .length = settings.bounds.lease,
            .takeover_delay = settings.bounds.lease,
            .acquisition_delay = std::chrono::duration_cast<duration>(max_acquisition_jitter * jitter_fraction)};
}

} // namespace

host_daemon::host_daemon(host_settings settings, settings_file file, std::shared_ptr<log_buffer> ring)
    : m_settings(std::move(settings)), m_file(std::move(file)), m_incarnation(get_incarnation(m_clock)),
      m_log(get_logger("host")), m_log_writer(m_loop.get_executor(), std::move(ring)),
      m_connections(m_clock, {.max_buffered_bytes = m_settings.caller_limits.get_response_bytes()}),
      m_store(m_connections, m_metrics, {.address = m_settings.store}),
      m_state(m_loop.get_executor(), m_clock, m_connections, m_engine_dialect, m_metrics,
              get_serving_options(m_settings, m_incarnation, m_clock.now())),
      m_configuration(m_store, m_state, m_settings.bounds.configuration, [this] { apply_limits(); }),
      m_servers(m_store, m_state, m_settings.bounds.drain),
      m_cloud(m_connections, m_metrics, {.address = m_settings.orders}),
      m_lease(m_store, m_clock, get_lease_options(m_settings, m_incarnation)),
      m_usage_recorder(m_store, m_state, m_settings.name.value(), m_incarnation),
      m_usage_reporter(m_store, m_cloud, m_lease, m_state, m_metrics, m_settings.name.value(),
                       m_settings.bounds.usage_report),
      m_fleet(m_cloud, m_lease, m_state, m_settings.name.value()), m_engine_orders(m_connections, m_metrics, {}),
      m_stages(m_engine_orders, m_lease, m_state, m_settings.name.value(), m_settings.is_first_start),
      m_hosts(m_loop, m_store, m_state, m_configuration, m_servers, m_lease, m_metrics,
              {.host = m_settings.name.value(),
               .zone = m_settings.zone,
               .incarnation = m_incarnation,
               .listen = m_settings.hosts,
               .capacity = m_settings.capacity,
               .group_record_delay = make_usage_timing(m_settings.bounds.usage_report).group_record_delay}),
      m_entry_handler(m_state, m_ingress_dialect), m_ready_handler([this] { return is_ready(); }),
      m_metrics_handler(m_metrics), m_entry_server({&m_loop}, m_entry_handler,
                                                   {.listen = m_settings.callers,
                                                    .limits = {},
                                                    .limiter = m_settings.caller_limits.get_caller_limits(),
                                                    .metrics = &m_metrics}),
      m_ready_server({&m_loop}, m_ready_handler, make_probe_options(m_settings.ready)),
      m_metrics_server({&m_loop}, m_metrics_handler, make_probe_options(m_settings.metrics)),
      m_signals(m_loop, SIGTERM, SIGINT, SIGHUP) {}

host_daemon::~host_daemon() {
    // Requests that never ended use the other members.
    m_loop.destroy_pending();
    // A connection must not outlive the event loop on which it was created.
    m_connections.clear();
}

void host_daemon::run() {
    log_event("start")
        .add("version", version)
        .add("zone", m_settings.zone.value())
        .add("callers", format_endpoint(m_settings.callers))
        .add("store", format_endpoint(m_settings.store))
        .write(*m_log, spdlog::level::info);
    m_log_writer.start();
    m_entry_server.start();
    m_ready_server.start();
    m_metrics_server.start();
    listen_to_signals();
    co_spawn(m_loop, m_configuration.run(), detached);
    co_spawn(m_loop, m_servers.run(), detached);
    co_spawn(m_loop, run_maintenance(), detached);
    co_spawn(m_loop, m_usage_recorder.run(), detached);
    m_hosts.start();
    if (m_settings.orders.port != 0) {
        co_spawn(m_loop, m_lease.run(), detached);
        co_spawn(m_loop, m_usage_reporter.run(), detached);
        co_spawn(m_loop, m_fleet.run(), detached);
        co_spawn(m_loop, m_stages.run(), detached);
    }
    m_loop.run();
    log_event("stop").write(*m_log, spdlog::level::info);
}

bool host_daemon::is_ready() const {
    return !m_state.is_stopping() && m_state.get_view() != nullptr && m_servers.is_loaded();
}

void host_daemon::listen_to_signals() {
    m_signals.async_wait([this](const boost::system::error_code& fault, int signal) {
        if (fault) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            stop();
        }
        listen_to_signals();
    });
}

void host_daemon::stop() {
    if (m_state.is_stopping()) {
        return;
    }
    const policy::stop_schedule schedule(m_clock.now_with_suspension(), m_settings.bounds.stop);
    m_state.begin_stop(schedule);
    log_event("stopping").add("requests", m_entry_server.get_active_requests()).write(*m_log, spdlog::level::info);
    m_entry_server.disable_keep_alive();
    // The store may be slow or away, so nothing waits for the release of the lease.
    co_spawn(m_loop, release_lease(schedule.get_began_at()), detached);
    co_spawn(m_loop, stop_gracefully(schedule), detached);
}

servers::asio::awaitable<void> host_daemon::stop_gracefully(policy::stop_schedule schedule) {
    co_await sleep_until(schedule.get_listen_end());
    m_entry_server.stop();
    log_event("listening_ended")
        .add("after_ms", m_clock.now_with_suspension() - schedule.get_began_at())
        .add("requests", m_entry_server.get_active_requests())
        .add("connections", m_entry_server.get_open_connections())
        .write(*m_log, spdlog::level::info);
    co_await wait_for_connections(schedule.get_work_end());
    log_event("work_ended")
        .add("after_ms", m_clock.now_with_suspension() - schedule.get_began_at())
        .add("requests", m_entry_server.get_active_requests())
        .write(*m_log, spdlog::level::info);
    m_state.end_work();
    // No request begins to run from now on, so the counts are final.
    co_spawn(m_loop, record_last_usage(), detached);
    co_await wait_for_connections(schedule.get_response_end());
    const auto is_store_done = [this] { return m_is_last_usage_recorded && m_is_lease_released; };
    while (!is_store_done() && m_clock.now_with_suspension() < schedule.get_exit()) {
        co_await servers::sleep_for(stop_check_interval);
    }
    log_event("stopped")
        .add("after_ms", m_clock.now_with_suspension() - schedule.get_began_at())
        .add("requests_cut_off", m_entry_server.get_active_requests())
        .add("usage_recorded", m_is_last_usage_recorded)
        .write(*m_log, spdlog::level::info);
    m_loop.stop();
}

servers::asio::awaitable<void> host_daemon::wait_for_connections(steady_time until) {
    // The server closes idle connections and takes those of its backlog only when this coroutine is suspended.
    do {
        co_await servers::sleep_for(stop_check_interval);
    } while (m_entry_server.get_open_connections() > 0 && m_clock.now_with_suspension() < until);
}

servers::asio::awaitable<void> host_daemon::sleep_until(steady_time until) {
    while (m_clock.now_with_suspension() < until) {
        co_await servers::sleep_for(std::min(until - m_clock.now_with_suspension(), max_stop_sleep));
    }
}

servers::asio::awaitable<void> host_daemon::release_lease(steady_time stop_began_at) {
    co_await m_lease.resign();
    m_is_lease_released = true;
    log_event("lease_released")
        .add("after_ms", m_clock.now_with_suspension() - stop_began_at)
        .write(*m_log, spdlog::level::info);
}

servers::asio::awaitable<void> host_daemon::record_last_usage() {
    co_await m_usage_recorder.record_last();
    m_is_last_usage_recorded = true;
}

servers::asio::awaitable<void> host_daemon::run_maintenance() {
    steady_time next_check = m_clock.now() + settings_check_interval;
    for (;;) {
        co_await servers::sleep_for(maintenance_interval);
        m_connections.close_expired();
        update_age_metrics();
        if (m_clock.now() < next_check) {
            continue;
        }
        next_check = m_clock.now() + settings_check_interval;
        if (m_file.has_changed()) {
            reload();
        }
    }
}

void host_daemon::update_age_metrics() {
    const auto get_milliseconds = [](duration age) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    };
    m_metrics.get_gauge("dragonflywell_configuration_age_milliseconds")
        .set(get_milliseconds(m_state.get_configuration_age()));
    m_metrics.get_gauge("dragonflywell_server_list_age_milliseconds")
        .set(get_milliseconds(m_state.eligibility.get_list_age(m_clock.now())));
}

void host_daemon::reload() {
    try {
        host_settings next = m_file.read();
        std::string restart_sections;
        for (const std::string& section : list_sections_for_restart(m_settings, next)) {
            restart_sections += restart_sections.empty() ? section : " " + section;
        }
        m_settings.log.level = next.log.level;
        set_log_level(next.log.level);
        log_event("reload")
            .add("log_level", next.log.level)
            .add("after_restart", restart_sections)
            .write(*m_log, spdlog::level::info);
    } catch (const invalid_input_error& fault) {
        log_event("settings_rejected").add("reason", fault.what()).write(*m_log, spdlog::level::err);
    }
}

void host_daemon::apply_limits() {
    const fleet::caller_limits& limits = m_state.get_view()->get_limits();
    m_entry_server.set_limits({.header_limit_bytes = limits.header_bytes,
                               .body_limit_bytes = limits.body_bytes,
                               .io_timeout = limits.header_timeout,
                               .idle_timeout = limits.idle_timeout});
}

} // namespace dragonflywell::daemon
