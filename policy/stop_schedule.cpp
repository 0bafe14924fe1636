#include "policy/stop_schedule.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

/// Ends of the steps as parts of the bound. The platform sends new callers elsewhere after two failed readiness checks,
/// which fits into the notice.
constexpr double notice_part = 0.34;
constexpr double listen_part = 0.44;
/// Longest notice and listening, after which a longer bound serves only the requests that still run.
constexpr duration max_notice = std::chrono::milliseconds(2700);
constexpr duration max_listening = std::chrono::milliseconds(3500);
constexpr double work_part = 0.88;
constexpr double response_part = 0.92;
constexpr double exit_part = 0.96;

duration get_part(duration bound, double part) {
    return std::chrono::duration_cast<duration>(bound * part);
}

} // namespace

stop_schedule::stop_schedule(steady_time began_at, duration bound)
    : m_began_at(began_at), m_notice_end(began_at + std::min(get_part(bound, notice_part), max_notice)),
      m_listen_end(began_at + std::min(get_part(bound, listen_part), max_listening)),
      m_work_end(began_at + get_part(bound, work_part)), m_response_end(began_at + get_part(bound, response_part)),
      m_exit(began_at + get_part(bound, exit_part)) {}

bool stop_schedule::may_accept(steady_time now, duration time_left) const {
    return now < m_notice_end || now + time_left <= m_work_end;
}

} // namespace dragonflywell::policy
