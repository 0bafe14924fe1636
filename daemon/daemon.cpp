#include "daemon/daemon.hpp"

#include <boost/asio/executor_work_guard.hpp>

namespace dragonflywell::daemon {

namespace {

/// How long idle connections may take to close at the end of a stop.
constexpr std::chrono::seconds connection_close_time{2};

std::vector<std::unique_ptr<boost::asio::io_context>> make_workers(unsigned count) {
    std::vector<std::unique_ptr<boost::asio::io_context>> workers;
    for (unsigned index = 0; index < count; ++index) {
        workers.push_back(std::make_unique<boost::asio::io_context>(1));
    }
    return workers;
}

/// Returns a start time one window ago, so that the full retry budget, which is local to this host, is available at
/// once.
steady_time get_budget_start(const clock_source& time) {
    return time.now() - policy::retry_budget_options{}.window;
}

std::uint64_t make_incarnation(const clock_source& time) {
    const auto since_epoch = time.wall_now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

} // namespace

daemon::daemon(daemon_settings settings)
    : m_settings(std::move(settings)), m_log(get_logger("daemon")), m_manifest(nullptr), m_connections(m_clock, {}),
      m_counters(m_metrics), m_admission(m_clock, m_settings.admission),
      m_retries({}, get_budget_start(m_clock)), m_context{.time = m_clock,
                                                          .own_zone = m_settings.zone,
                                                          .manifest = m_manifest,
                                                          .placement = m_placement,
                                                          .connections = m_connections,
                                                          .loads = m_loads,
                                                          .usage = m_usage,
                                                          .claims = m_claims,
                                                          .counters = m_counters,
                                                          .admission = m_admission,
                                                          .retries = m_retries,
                                                          .suspects = m_suspects,
                                                          .cut_off = m_cut_off,
                                                          .demand = m_fleet.demand,
                                                          .engines = m_fleet.engines,
                                                          .limits = m_settings.limits},
      m_entry_handler(m_context),
      m_operator_handler(m_metrics, m_context, m_fleet.status, m_settings.host, [this] { return is_ready(); }),
      m_workers(make_workers(m_settings.workers)), m_operator_context(1),
      m_entry_server(get_worker_contexts(), m_entry_handler,
                     {.listen = m_settings.callers,
                      .limits = {.header_limit_bytes = m_settings.header_limit_bytes,
                                 .body_limit_bytes = m_settings.body_limit_bytes}}),
      m_operator_server({&m_operator_context}, m_operator_handler, {.listen = m_settings.operators, .limits = {}}),
      m_task_context{.settings = m_settings,
                     .time = m_clock,
                     .self = {.host = m_settings.host.value(), .incarnation = make_incarnation(m_clock)},
                     .metrics = m_metrics,
                     .manifest = m_manifest,
                     .usage = m_usage,
                     .claims = m_claims,
                     .cut_off = m_cut_off,
                     .fleet = m_fleet} {
    for (std::unique_ptr<control_task>& task : make_control_tasks(m_task_context)) {
        m_control_threads.push_back(std::make_unique<control_thread>(std::move(task), m_metrics));
    }
}

daemon::~daemon() {
    stop();
}

void daemon::start() {
    m_entry_server.start();
    m_operator_server.start();
    for (const std::unique_ptr<control_thread>& thread : m_control_threads) {
        thread->start();
    }
    for (boost::asio::io_context* context : get_worker_contexts()) {
        m_threads.emplace_back([context] {
            // The work guard keeps a worker without connections running.
            const auto work = boost::asio::make_work_guard(*context);
            context->run();
        });
    }
    m_threads.emplace_back([this] { m_operator_context.run(); });
    m_log->info("Host {} in availability zone {} serves callers on port {}.", m_settings.host.value(),
                m_settings.zone.value(), get_caller_port());
}

void daemon::stop() {
    if (m_is_stopping.exchange(true)) {
        return;
    }
    m_log->info("Stopping: readiness checks fail from now on, and callers are asked to close their connections.");
    m_entry_server.disable_keep_alive();
    wait_while([this] { return !m_is_notice_over; }, m_settings.stop_notice);
    m_log->info("Stopping: new requests are refused.");
    m_entry_handler.set_stopping();
    wait_while([this] { return m_entry_server.get_active_requests() > 0; }, m_settings.stop_grace);
    if (const std::int64_t left = m_entry_server.get_active_requests(); left > 0) {
        m_log->error("{} requests are still running at the end of the grace period and are cut off.", left);
    }
    m_entry_server.stop();
    wait_while([this] { return m_entry_server.get_open_connections() > 0; }, connection_close_time);
    m_operator_server.stop();
    for (const std::unique_ptr<control_thread>& thread : m_control_threads) {
        thread->stop();
    }
    for (boost::asio::io_context* context : get_worker_contexts()) {
        context->stop();
    }
    m_operator_context.stop();
    for (std::thread& thread : m_threads) {
        thread.join();
    }
    // A connection must not outlive the I/O context on which it was created.
    m_connections.clear();
    m_log->info("Stopped.");
}

bool daemon::is_ready() const {
    return !m_is_stopping && m_manifest.get() != nullptr;
}

std::vector<boost::asio::io_context*> daemon::get_worker_contexts() const {
    std::vector<boost::asio::io_context*> contexts;
    for (const std::unique_ptr<boost::asio::io_context>& worker : m_workers) {
        contexts.push_back(worker.get());
    }
    return contexts;
}

void daemon::wait_while(const std::function<bool()>& is_busy, duration longest) {
    constexpr std::chrono::milliseconds check_interval{20};
    const steady_time last_moment = m_clock.now() + longest;
    while (is_busy() && m_clock.now() < last_moment) {
        std::this_thread::sleep_for(check_interval);
    }
}

} // namespace dragonflywell::daemon
