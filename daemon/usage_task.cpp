#include "daemon/usage_task.hpp"

#include <array>

namespace dragonflywell::daemon {

usage_task::usage_task(const daemon_parts& parts)
    : m_parts(parts), m_platform_log({.server = parts.settings.platform_log, .deadline = parts.settings.log_deadline}),
      m_stream(m_platform_log, std::string(coordination::usage_stream), parts.self) {}

void usage_task::run_round() {
    const coordination::usage_table unflushed = m_parts.usage.get_unflushed();
    if (unflushed.empty()) {
        return;
    }
    const std::array drafts{coordination::make_usage_record(m_parts.self, unflushed)};
    m_stream.submit(drafts);
    m_parts.usage.mark_flushed(unflushed);
}

} // namespace dragonflywell::daemon
