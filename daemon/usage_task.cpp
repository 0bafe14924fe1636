#include "daemon/usage_task.hpp"

namespace dragonflywell::daemon {

usage_task::usage_task(const control_task_context& parts)
    : m_parts(parts), m_platform_log({.server = parts.settings.platform_log, .deadline = parts.settings.log_deadline}),
      m_stream(m_platform_log, std::string(coordination::usage_stream), parts.self),
      m_flusher(m_stream, parts.time, parts.usage) {}

void usage_task::run_round() {
    const std::shared_ptr<const servers::active_manifest> manifest = m_parts.manifest.get();
    if (manifest != nullptr) {
        m_flusher.flush(manifest->content.window_length);
    }
}

void usage_task::finish() {
    const std::shared_ptr<const servers::active_manifest> manifest = m_parts.manifest.get();
    if (manifest != nullptr) {
        m_flusher.finish(manifest->content.window_length);
    }
}

} // namespace dragonflywell::daemon
