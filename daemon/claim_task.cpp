#include "daemon/claim_task.hpp"

namespace dragonflywell::daemon {

namespace {

/// How long a round waits for work. A graceful stop waits up to this long for the round to end.
constexpr std::chrono::milliseconds idle_wait{100};
constexpr std::chrono::seconds idle_poll_interval{1};

} // namespace

claim_task::claim_task(const control_task_context& parts)
    : m_parts(parts), m_platform_log({.server = parts.settings.platform_log, .deadline = parts.settings.log_deadline}),
      m_stream(m_platform_log, std::string(coordination::claim_stream), parts.self),
      m_book(m_stream, parts.time, parts.settings.claims),
      m_batches(&parts.metrics.get_counter("dragonflywell_claim_batches_total")),
      m_remembered(&parts.metrics.get_gauge("dragonflywell_claims_remembered")) {}

void claim_task::run_round() {
    const coordination::pending_claim_work round = m_parts.claims.take_all(idle_wait);
    if (!round.claims.empty() || !round.settlements.empty() || m_book.has_unwritten_settlements()) {
        process(round);
        m_pause = m_parts.settings.claim_interval;
        return;
    }
    m_pause = {};
    if (m_parts.time.now() - m_polled_at >= idle_poll_interval) {
        m_polled_at = m_parts.time.now();
        m_book.poll();
    }
}

void claim_task::finish() {
    m_parts.claims.close();
    process(m_parts.claims.take_all({}));
}

void claim_task::process(const coordination::pending_claim_work& round) {
    std::vector<coordination::claim_request> requests;
    for (const coordination::pending_claim& claim : round.claims) {
        requests.push_back(claim.request);
    }
    m_batches->add();
    m_polled_at = m_parts.time.now();
    const std::vector<coordination::claim_result> answers = m_book.process(requests, round.settlements);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        round.claims[index].on_answer(answers[index]);
    }
    m_remembered->set(static_cast<std::int64_t>(m_book.get_size()));
}

} // namespace dragonflywell::daemon
