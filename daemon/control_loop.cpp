#include "daemon/control_loop.hpp"

#include <array>

#include "core/error.hpp"
#include "fleet/manifest.hpp"

namespace dragonflywell::daemon {

control_loop::control_loop(coordination::append_log& log, const clock_source& time, control_loop_options options,
                           snapshot_cell<servers::active_manifest>& manifest, coordination::usage_meter& usage,
                           metrics_registry& metrics)
    : m_time(&time), m_options(std::move(options)), m_manifest(&manifest), m_usage(&usage),
      m_configuration_stream(log, std::string(coordination::configuration_stream), m_options.self),
      m_usage_stream(log, std::string(coordination::usage_stream), m_options.self),
      m_log_failures(&metrics.get_counter("dragonflywell_log_failures_total")),
      m_rejected_configurations(&metrics.get_counter("dragonflywell_rejected_configurations_total")),
      m_version(&metrics.get_gauge("dragonflywell_configuration_version")), m_log(get_logger("control")) {
    m_configuration_stream.add_observer(m_configuration);
    m_version->set(-1);
}

control_loop::~control_loop() {
    stop();
}

void control_loop::start() {
    m_thread = std::thread([this] { run(); });
}

void control_loop::stop() {
    {
        const std::scoped_lock lock(m_mutex);
        m_is_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void control_loop::run() {
    do {
        try {
            follow_configuration();
            if (m_time->now() - m_flushed_at >= m_options.usage_flush) {
                flush_usage();
            }
        } catch (const coordination::log_unavailable_error& fault) {
            m_log_failures->add();
            m_log->warn("Log cannot be reached: {}.", fault.what());
        }
    } while (wait_for_next_round());
    try {
        flush_usage();
    } catch (const coordination::log_unavailable_error& fault) {
        m_log->error("Usage could not be written at stop: {}.", fault.what());
    }
}

void control_loop::follow_configuration() {
    const std::optional<coordination::log_offset> before = m_configuration.get()->version;
    m_configuration_stream.poll();
    const std::shared_ptr<const coordination::configuration>& current = m_configuration.get();
    if (!current->version || current->version == before) {
        return;
    }
    try {
        auto next = std::make_shared<servers::active_manifest>();
        next->version = *current->version;
        next->content = fleet::parse_manifest(current->entries);
        m_manifest->set(std::move(next));
        m_version->set(static_cast<std::int64_t>(*current->version));
        m_log->info("Configuration {} is in force.", *current->version);
    } catch (const invalid_input_error& fault) {
        m_rejected_configurations->add();
        m_log->error("Configuration {} is not valid and is not used: {}", *current->version, fault.what());
    }
}

void control_loop::flush_usage() {
    const coordination::usage_table unflushed = m_usage->get_unflushed();
    m_flushed_at = m_time->now();
    if (unflushed.empty()) {
        return;
    }
    const std::array drafts{coordination::make_usage_record(m_options.self, unflushed)};
    m_usage_stream.submit(drafts);
    m_usage->mark_flushed(unflushed);
}

bool control_loop::wait_for_next_round() {
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, m_options.configuration_poll, [this] { return m_is_stopping; });
    return !m_is_stopping;
}

} // namespace dragonflywell::daemon
