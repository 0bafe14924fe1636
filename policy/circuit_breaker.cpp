#include "policy/circuit_breaker.hpp"

#include <algorithm>

namespace dragonflywell::policy {

bool circuit_breaker::may_call(steady_time now) {
    if (!m_next_call_at) {
        return true;
    }
    if (now < *m_next_call_at) {
        return false;
    }
    m_next_call_at = now + m_backoff;
    m_backoff = std::min(m_backoff * 2, m_options.max_backoff);
    return true;
}

void circuit_breaker::on_success(steady_time now) {
    m_next_call_at.reset();
    m_failed_at.reset();
    m_backoff = {};
    m_succeeded_at = now;
}

void circuit_breaker::on_failure(steady_time sent_at, steady_time now) {
    if (m_succeeded_at && *m_succeeded_at >= sent_at) {
        return;
    }
    // Concurrent calls that fail together count as one failure.
    if (m_failed_at && sent_at < *m_failed_at) {
        return;
    }
    m_failed_at = now;
    m_backoff = std::max(m_backoff, m_options.initial_backoff);
    m_next_call_at = std::max(sent_at + m_backoff, now + m_options.initial_backoff);
}

} // namespace dragonflywell::policy
