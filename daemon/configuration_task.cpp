#include "daemon/configuration_task.hpp"

#include "core/error.hpp"
#include "fleet/manifest.hpp"

namespace dragonflywell::daemon {

namespace {

/// How long after the last successful read the log counts as unreachable.
constexpr std::chrono::seconds log_contact_timeout{15};

} // namespace

configuration_task::configuration_task(const control_task_context& context)
    : m_context(context),
      m_platform_log({.server = context.settings.platform_log, .deadline = context.settings.log_deadline}),
      m_stream(m_platform_log, std::string(coordination::configuration_stream), context.self),
      m_snapshots(m_platform_log, m_stream, context.time, context.settings.log_retention),
      m_rejected(&context.metrics.get_counter("dragonflywell_rejected_configurations_total")),
      m_written(&context.metrics.get_counter("dragonflywell_snapshots_total", {{"stream", m_stream.get_name()}})),
      m_version(&context.metrics.get_gauge("dragonflywell_configuration_version")),
      m_direct_reads(&context.metrics.get_counter("dragonflywell_configuration_log_reads_total")),
      m_log(get_logger(get_name())) {
    m_stream.add_observer(m_fold);
    m_version->set(-1);
}

void configuration_task::run_round() {
    try {
        follow();
        m_followed_at = m_context.time.now();
        update_cut_off();
        write_snapshots();
    } catch (const coordination::log_unavailable_error&) {
        update_cut_off();
        throw;
    }
}

void configuration_task::follow() {
    m_stream.poll();
    m_direct_reads->add();
    const std::shared_ptr<const coordination::configuration> current = m_fold.get();
    if (current->version != m_tried) {
        m_tried = current->version;
        apply_configuration(current);
    }
}

void configuration_task::finish() {
    m_snapshots.release();
}

void configuration_task::write_snapshots() {
    if (m_snapshots.tick()) {
        m_written->add();
        m_log->info("Wrote a configuration snapshot up to offset {}.", m_stream.get_next_offset());
    }
}

void configuration_task::update_cut_off() {
    const steady_time now = m_context.time.now();
    // A daemon cannot distinguish an outage of the log from a network partition of its zone, so it assumes the latter.
    const bool is_fresh = m_followed_at && now - *m_followed_at <= log_contact_timeout;
    m_context.cut_off.set_cut_off(!is_fresh, now);
}

void configuration_task::apply_configuration(const std::shared_ptr<const coordination::configuration>& current) {
    if (m_in_force && *current->version <= *m_in_force) {
        return;
    }
    try {
        auto next =
            std::make_shared<servers::active_manifest>(*current->version, fleet::parse_manifest(current->entries));
        m_context.manifest.set(std::move(next));
        m_in_force = current->version;
        m_version->set(static_cast<std::int64_t>(*current->version));
        m_log->info("Configuration {} is in force.", *current->version);
    } catch (const invalid_input_error& fault) {
        m_rejected->add();
        m_log->error("Configuration {} is invalid and is not put in force: {}", *current->version, fault.what());
        return;
    }
}

} // namespace dragonflywell::daemon
