#include "daemon/configuration_task.hpp"

#include "core/error.hpp"
#include "fleet/manifest.hpp"

namespace dragonflywell::daemon {

configuration_task::configuration_task(const daemon_parts& parts)
    : m_parts(parts), m_platform_log({.server = parts.settings.platform_log, .deadline = parts.settings.log_deadline}),
      m_stream(m_platform_log, std::string(coordination::configuration_stream), parts.self),
      m_snapshots(m_platform_log, m_stream, parts.time, parts.settings.log_retention),
      m_rejected(&parts.metrics.get_counter("dragonflywell_rejected_configurations_total")),
      m_written(&parts.metrics.get_counter("dragonflywell_snapshots_total", {{"stream", m_stream.get_name()}})),
      m_version(&parts.metrics.get_gauge("dragonflywell_configuration_version")), m_log(get_logger(get_name())) {
    m_stream.add_observer(m_fold);
    m_version->set(-1);
}

void configuration_task::run_round() {
    const std::optional<coordination::log_offset> before = m_fold.get()->version;
    m_stream.poll();
    const std::shared_ptr<const coordination::configuration> current = m_fold.get();
    if (current->version && current->version != before) {
        put_in_force(*current);
    }
    if (m_snapshots.tick()) {
        m_written->add();
        m_log->info("Snapshot up to {} is written.", m_stream.get_next_offset());
    }
}

void configuration_task::finish() {
    m_snapshots.release();
}

void configuration_task::put_in_force(const coordination::configuration& current) {
    try {
        auto next = std::make_shared<servers::active_manifest>();
        next->version = *current.version;
        next->content = fleet::parse_manifest(current.entries);
        m_parts.manifest.set(std::move(next));
        m_version->set(static_cast<std::int64_t>(*current.version));
        m_log->info("Configuration {} is in force.", *current.version);
    } catch (const invalid_input_error& fault) {
        m_rejected->add();
        m_log->error("Configuration {} is not valid and is not used: {}", *current.version, fault.what());
    }
}

} // namespace dragonflywell::daemon
