#include "daemon/report_task.hpp"

namespace dragonflywell::daemon {

namespace {

/// Returns a separate writer, since the usage task writes to the same stream with its own sequence numbers.
coordination::writer_id make_reporter_id(const coordination::writer_id& self) {
    return {.host = self.host + "/reporting", .incarnation = self.incarnation};
}

} // namespace

report_task::report_task(const control_task_context& context)
    : m_context(context),
      m_platform_log({.server = context.settings.platform_log, .deadline = context.settings.log_deadline}),
      m_reporting({.server = *context.settings.platform_usage, .deadline = context.settings.log_deadline}),
      m_stream(m_platform_log, std::string(coordination::usage_stream), make_reporter_id(context.self)),
      m_kept_counters(&context.metrics.get_gauge("dragonflywell_usage_counters_kept")),
      m_unreported_window(&context.metrics.get_gauge("dragonflywell_unreported_window")) {
    m_stream.add_observer(m_hosts);
}

void report_task::run_round() {
    const std::shared_ptr<const servers::active_manifest> manifest = m_context.manifest.get();
    if (manifest == nullptr) {
        return;
    }
    if (m_reporter == nullptr) {
        m_reporter = std::make_unique<coordination::usage_reporter>(
            m_stream, m_context.time, m_reporting, m_hosts,
            coordination::usage_reporter_options{.window_length = manifest->content.window_length});
    }
    m_reporter->tick();
    const coordination::usage_window_fold& fold = m_reporter->get_fold();
    m_kept_counters->set(static_cast<std::int64_t>(fold.get_size()));
    const coordination::window_report* unreported = fold.get_unreported();
    m_unreported_window->set(unreported == nullptr ? 0 : static_cast<std::int64_t>(unreported->window));
}

void report_task::finish() {
    if (m_reporter != nullptr) {
        m_reporter->release();
    }
}

} // namespace dragonflywell::daemon
