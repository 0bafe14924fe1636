#pragma once

#include "coordination/snapshot_writer.hpp"
#include "daemon/control_task.hpp"
#include "daemon/control_task_context.hpp"
#include "fleet/service_history.hpp"
#include "platform/http_log.hpp"

namespace dragonflywell::daemon {

/// Records the requests, refusals and delivered tokens of this host's callers in the log, for the operators' reports.
///
/// The figures serve trends only and never billing: when the log fails between an append and its read-back, an interval
/// may be counted twice.
class history_task final : public control_task {
public:
    explicit history_task(const control_task_context& context);

    void run_round() override;
    void finish() override { run_round(); }
    [[nodiscard]] const char* get_name() const noexcept override { return "history"; }
    [[nodiscard]] duration get_interval() const noexcept override { return m_context.settings.history_interval; }

private:
    void collect();
    void add_refusals();
    void add_spending(duration elapsed);

    control_task_context m_context;
    platform::http_log m_platform_log;
    coordination::folded_stream m_stream;
    fleet::service_history m_history;
    coordination::snapshot_writer m_snapshots;
    /// Figures that are not yet recorded in the log.
    fleet::service_counts m_pending;
    /// Fraction of a thousandth that is carried over, so that rounding in short rounds does not lose it.
    double m_spend_remainder{0};
    std::map<std::string, std::uint64_t> m_refusals_before;
    std::optional<steady_time> m_collected_at;
};

} // namespace dragonflywell::daemon
