#pragma once

#include "coordination/claim_queue.hpp"
#include "coordination/claim_registry.hpp"
#include "daemon/control_task.hpp"
#include "daemon/control_task_context.hpp"
#include "platform/http_log.hpp"

namespace dragonflywell::daemon {

/// Writes the idempotency claims of all waiting requests with one append to the log, and answers them.
class claim_task final : public control_task {
public:
    explicit claim_task(const control_task_context& context);

    void run_round() override;
    void finish() override;
    [[nodiscard]] const char* get_name() const noexcept override { return "claims"; }
    [[nodiscard]] duration get_interval() const noexcept override { return m_pause; }

private:
    void process(const coordination::pending_claim_work& round);

    control_task_context m_context;
    platform::http_log m_platform_log;
    coordination::folded_stream m_stream;
    coordination::claim_registry m_registry;
    steady_time m_polled_at{};
    /// Time until the next round: zero after an idle round, so that a single claim is written at once.
    duration m_pause{};
    counter* m_batches;
    gauge* m_remembered;
};

} // namespace dragonflywell::daemon
