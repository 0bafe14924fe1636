#include "daemon/usage_task.hpp"

namespace dragonflywell::daemon {

usage_task::usage_task(const control_task_context& context)
    : m_context(context),
      m_platform_log({.server = context.settings.platform_log, .deadline = context.settings.log_deadline}),
      m_stream(m_platform_log, std::string(coordination::usage_stream), context.self),
      m_flusher(m_stream, context.time, context.usage) {}

void usage_task::run_round() {
    const std::shared_ptr<const servers::active_manifest> manifest = m_context.manifest.get();
    if (manifest != nullptr) {
        m_flusher.flush(manifest->content.window_length);
    }
}

void usage_task::finish() {
    const std::shared_ptr<const servers::active_manifest> manifest = m_context.manifest.get();
    if (manifest != nullptr) {
        m_flusher.finish(manifest->content.window_length);
    }
}

} // namespace dragonflywell::daemon
