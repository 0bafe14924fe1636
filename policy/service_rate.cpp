#include "policy/service_rate.hpp"

#include <cmath>

namespace dragonflywell::policy {

namespace {

/// Busy time below which no estimate is made.
constexpr double min_busy_seconds = 0.5;

} // namespace

void service_rate::set_busy(steady_time now, bool is_busy) {
    advance(now);
    m_is_busy = is_busy;
}

void service_rate::add_finished(steady_time now, double work) {
    advance(now);
    if (m_is_busy) {
        m_work += work;
    }
}

duration service_rate::get_time_for(double work) const {
    if (m_seconds < min_busy_seconds || m_work <= 0.0) {
        return duration::zero();
    }
    const std::chrono::duration<double> seconds(work * m_seconds / m_work);
    return std::chrono::duration_cast<duration>(seconds);
}

void service_rate::advance(steady_time now) {
    if (m_is_busy && now > m_advanced) {
        const double seconds = std::chrono::duration<double>(now - m_advanced).count();
        const double decay = std::exp(-seconds / std::chrono::duration<double>(m_time_constant).count());
        m_seconds = m_seconds * decay + seconds;
        m_work *= decay;
    }
    m_advanced = now;
}

} // namespace dragonflywell::policy
