#pragma once

#include <memory>

#include "coordination/incarnation_tracker.hpp"
#include "coordination/usage_report.hpp"
#include "daemon/control_task.hpp"
#include "daemon/control_task_context.hpp"
#include "platform/http_log.hpp"
#include "platform/http_usage_reporting.hpp"

namespace dragonflywell::daemon {

/// Competes for the reporting lease, and reports usage windows to the platform while this host holds it.
class report_task final : public control_task {
public:
    /// Precondition: the settings name the platform's usage reporting.
    explicit report_task(const control_task_context& context);

    void run_round() override;
    void finish() override;
    [[nodiscard]] const char* get_name() const noexcept override { return "reporting"; }
    [[nodiscard]] duration get_interval() const noexcept override { return m_context.settings.usage_flush; }

private:
    control_task_context m_context;
    platform::http_log m_platform_log;
    platform::http_usage_reporting m_reporting;
    coordination::folded_stream m_stream;
    coordination::incarnation_tracker m_hosts;
    /// Created when the first configuration is known, which sets the length of a window.
    std::unique_ptr<coordination::usage_reporter> m_reporter;
    gauge* m_kept_counters;
    gauge* m_unreported_window;
};

} // namespace dragonflywell::daemon
