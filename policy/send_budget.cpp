#include "policy/send_budget.hpp"

#include <algorithm>

namespace dragonflywell::policy {

void send_budget::refill(steady_time now) {
    const double seconds = std::chrono::duration<double>(now - m_refilled_at).count();
    m_left = std::min(m_options.burst_bytes, m_left + std::max(0.0, seconds) * m_options.bytes_per_second);
    m_refilled_at = now;
}

duration send_budget::get_wait(steady_time now) {
    refill(now);
    if (m_left > 0) {
        return duration::zero();
    }
    // One byte more than what is owed, so that something is left when the time is over.
    const std::chrono::duration<double> wait((1 - m_left) / m_options.bytes_per_second);
    return std::chrono::duration_cast<duration>(wait) + duration(1);
}

void send_budget::spend(std::size_t bytes, steady_time now) {
    refill(now);
    m_left -= static_cast<double>(bytes);
}

} // namespace dragonflywell::policy
