#include "daemon/claim_task.hpp"

namespace dragonflywell::daemon {

namespace {

/// How long a round waits for work. A graceful stop waits up to this long for the round to end.
constexpr std::chrono::milliseconds idle_wait{100};
constexpr std::chrono::seconds idle_poll_interval{1};

} // namespace

claim_task::claim_task(const control_task_context& context)
    : m_context(context),
      m_platform_log({.server = context.settings.platform_log, .deadline = context.settings.log_deadline}),
      m_stream(m_platform_log, std::string(coordination::claim_stream), context.self),
      m_registry(m_stream, context.time, context.settings.claims),
      m_batches(&context.metrics.get_counter("dragonflywell_claim_batches_total")),
      m_remembered(&context.metrics.get_gauge("dragonflywell_claims_remembered")) {}

void claim_task::run_round() {
    const coordination::pending_claim_work round = m_context.claims.take_all(idle_wait);
    if (!round.claims.empty() || !round.settlements.empty() || m_registry.has_unwritten_settlements()) {
        process(round);
        m_pause = m_context.settings.claim_interval;
        return;
    }
    m_pause = {};
    if (m_context.time.now() - m_polled_at >= idle_poll_interval) {
        m_polled_at = m_context.time.now();
        m_registry.poll();
    }
}

void claim_task::finish() {
    m_context.claims.close();
    process(m_context.claims.take_all({}));
}

void claim_task::process(const coordination::pending_claim_work& round) {
    std::vector<coordination::claim_request> requests;
    for (const coordination::pending_claim& claim : round.claims) {
        requests.push_back(claim.request);
    }
    m_batches->add();
    m_polled_at = m_context.time.now();
    const std::vector<coordination::claim_result> answers = m_registry.process(requests, round.settlements);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        round.claims[index].on_answer(answers[index]);
    }
    m_remembered->set(static_cast<std::int64_t>(m_registry.get_size()));
}

} // namespace dragonflywell::daemon
