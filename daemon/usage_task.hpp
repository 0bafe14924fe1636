#pragma once

#include "coordination/usage_flusher.hpp"
#include "daemon/control_task.hpp"
#include "daemon/control_task_context.hpp"
#include "platform/http_log.hpp"

namespace dragonflywell::daemon {

/// Writes the usage counters of this incarnation of the host to the log and closes its windows.
class usage_task final : public control_task {
public:
    explicit usage_task(const control_task_context& context);

    void run_round() override;
    void finish() override;
    [[nodiscard]] const char* get_name() const noexcept override { return "usage"; }
    [[nodiscard]] duration get_interval() const noexcept override { return m_context.settings.usage_flush; }

private:
    control_task_context m_context;
    platform::http_log m_platform_log;
    coordination::folded_stream m_stream;
    coordination::usage_flusher m_flusher;
};

} // namespace dragonflywell::daemon
