#include "policy/read_schedule.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

constexpr duration unit_bound = std::chrono::seconds(1);
constexpr read_times unit_times = read_times::within(unit_bound);
static_assert(unit_times.get_age_after_lost_answer() + unit_times.margin <= unit_bound);
static_assert(unit_times.get_age_after_stale_answer() + unit_times.margin <= unit_bound);

} // namespace

void read_schedule::note_gap(const log_position& end, steady_time now) {
    if (!m_gap) {
        m_gap = gap{.end = end, .noticed_at = now};
        return;
    }
    m_gap->end = std::max(m_gap->end, end);
}

void read_schedule::note_progress(const log_position& next) {
    if (m_gap && next >= m_gap->end) {
        m_gap.reset();
    }
}

steady_time read_schedule::get_next_read_at(const topic_progress& topic) const {
    if (m_reads >= max_reads) {
        return steady_time::max();
    }
    const steady_time current_at = topic.get_caught_up_at();
    if (m_reads > 0) {
        // The first read of all is large, and all hosts that start together make it at the same time.
        const bool was_ever_read = current_at != steady_time{};
        const steady_time repeat_at = std::max(m_last_begun_at, current_at + m_times.max_age) + m_times.hedge_delay;
        return was_ever_read ? std::max(repeat_at, m_not_before) : steady_time::max();
    }
    if (topic.is_lagging()) {
        return m_not_before;
    }
    steady_time due_at = current_at + (m_is_reader ? m_times.leader_interval : m_times.max_age);
    if (m_gap) {
        due_at = std::min(due_at, m_gap->noticed_at + m_times.gap_patience);
    }
    return std::max(due_at, m_not_before);
}

bool read_schedule::begin_read(steady_time now) {
    ++m_reads;
    m_last_begun_at = now;
    return m_reads > 1;
}

} // namespace dragonflywell::policy
