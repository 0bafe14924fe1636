#include "daemon/configuration_task.hpp"

#include "core/error.hpp"
#include "fleet/manifest.hpp"

namespace dragonflywell::daemon {

configuration_task::configuration_task(const daemon_parts& parts, std::shared_ptr<peer_hub> peers)
    : m_parts(parts), m_peers(std::move(peers)),
      m_platform_log({.server = parts.settings.platform_log, .deadline = parts.settings.log_deadline}),
      m_stream(get_log(), std::string(coordination::configuration_stream), parts.self),
      m_snapshots(m_platform_log, m_stream, parts.time, parts.settings.log_retention),
      m_rejected(&parts.metrics.get_counter("dragonflywell_rejected_configurations_total")),
      m_written(&parts.metrics.get_counter("dragonflywell_snapshots_total", {{"stream", m_stream.get_name()}})),
      m_version(&parts.metrics.get_gauge("dragonflywell_configuration_version")),
      m_direct_reads(&parts.metrics.get_counter("dragonflywell_configuration_log_reads_total")),
      m_log(get_logger(get_name())) {
    m_stream.add_observer(m_fold);
    m_version->set(-1);
}

coordination::append_log& configuration_task::get_log() {
    if (m_peers == nullptr) {
        return m_platform_log;
    }
    return m_fan_out.emplace(m_platform_log, *m_peers);
}

void configuration_task::run_round() {
    try {
        follow();
        m_followed_at = m_parts.time.wall_now();
        judge_cut_off();
        keep_snapshots();
    } catch (const coordination::log_unavailable_error&) {
        judge_cut_off();
        adopt_from_peers();
        throw;
    }
}

void configuration_task::follow() {
    m_stream.poll();
    if (m_fan_out) {
        m_direct_reads->add(m_fan_out->get_direct_reads() - m_counted_reads);
        m_counted_reads = m_fan_out->get_direct_reads();
    }
    const std::shared_ptr<const coordination::configuration> current = m_fold.get();
    if (current->version != m_tried) {
        m_tried = current->version;
        put_in_force(current);
    }
}

void configuration_task::finish() {
    m_snapshots.release();
}

void configuration_task::keep_snapshots() {
    // A daemon that reads through others could not read its own records back in time.
    if (m_peers != nullptr && !m_peers->is_reader(m_stream.get_name())) {
        return;
    }
    if (m_snapshots.tick()) {
        m_written->add();
        m_log->info("Snapshot up to {} is written.", m_stream.get_next_offset());
    }
}

void configuration_task::judge_cut_off() {
    const wall_time now = m_parts.time.wall_now();
    // A daemon without peers cannot tell an outage for all from a cut of its own, so it assumes the cut.
    const coordination::log_reach reach =
        m_peers != nullptr
            ? m_peers->get_log_reach()
            : coordination::judge_log_reach(
                  {.own_zone_read_at = m_followed_at, .any_zone_read_at = m_followed_at, .is_linked = false}, now,
                  coordination::log_reach_bound);
    m_parts.cut_off.set_cut_off(reach == coordination::log_reach::cut_off, m_parts.time.now());
}

void configuration_task::adopt_from_peers() {
    // Only a host that has nothing takes what another has folded; the others wait for the log.
    if (m_peers == nullptr || m_in_force) {
        return;
    }
    const std::shared_ptr<const coordination::configuration> adopted = m_peers->fetch_configuration();
    if (adopted != nullptr) {
        m_log->warn("The log is down; configuration {} was taken from another daemon.", *adopted->version);
        put_in_force(adopted);
    }
}

void configuration_task::put_in_force(const std::shared_ptr<const coordination::configuration>& current) {
    if (m_in_force && *current->version <= *m_in_force) {
        return;
    }
    try {
        auto next =
            std::make_shared<servers::active_manifest>(*current->version, fleet::parse_manifest(current->entries));
        m_parts.manifest.set(std::move(next));
        m_in_force = current->version;
        m_version->set(static_cast<std::int64_t>(*current->version));
        m_log->info("Configuration {} is in force.", *current->version);
    } catch (const invalid_input_error& fault) {
        m_rejected->add();
        m_log->error("Configuration {} is not valid and is not used: {}", *current->version, fault.what());
        return;
    }
    if (m_peers != nullptr) {
        m_peers->set_configuration(current);
    }
}

} // namespace dragonflywell::daemon
