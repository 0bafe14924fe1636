#include "coordination/report_simulation.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflywell::testing {

using coordination::report_state;
using coordination::window_usage;

void report_simulation::step(append_outcome outcome, std::size_t max_reports) {
    if (!get_holder().state && !read(outcome)) {
        return;
    }
    if (get_holder().state->last.value_or(0) < m_newest_due) {
        finalize(outcome);
    }
    for (std::size_t count = 0; count < max_reports && get_holder().state; ++count) {
        std::vector<window_usage>& pending = get_holder().state->pending;
        if (pending.empty()) {
            return;
        }
        report(pending.front());
        pending.erase(pending.begin());
    }
}

bool report_simulation::read(append_outcome outcome) {
    reporter& holder = get_holder();
    const report_state stored = m_topic.empty() ? report_state{} : m_topic.back();
    holder.end = m_topic.size();
    if (stored.era == m_era || m_recovery == report_recovery::none) {
        holder.state = stored;
        holder.history.record(stored, m_term);
        return true;
    }
    const coordination::recovered_report_state recovered =
        holder.history.recover(stored, {.term = m_term, .era = m_era, .newest_due = m_newest_due});
    return store(recovered.state, outcome);
}

bool report_simulation::store(const report_state& next, append_outcome outcome) {
    reporter& holder = get_holder();
    if (outcome == append_outcome::applied_later) {
        m_late_appends.push_back({.at = holder.end, .state = next});
    }
    const bool is_applied = outcome == append_outcome::answered || outcome == append_outcome::applied_without_response;
    const bool is_accepted = is_applied && holder.end == m_topic.size();
    if (is_accepted) {
        m_topic.push_back(next);
    }
    if (!is_accepted || outcome != append_outcome::answered) {
        holder.state.reset();
        return false;
    }
    holder.state = next;
    holder.end = m_topic.size();
    holder.history.record(next, m_term);
    return true;
}

void report_simulation::finalize(append_outcome outcome) {
    report_state next = *get_holder().state;
    next.era = m_era;
    next.settled = next.last;
    for (auto window = next.last.value_or(m_newest_due - 1) + 1; window <= m_newest_due; ++window) {
        next.pending.push_back({.window = window, .counts = {{organisation_name("a"), m_next_figure++}}});
    }
    next.last = m_newest_due;
    store(next, outcome);
}

void report_simulation::report(const window_usage& usage) {
    const auto [found, is_new] = m_reported.try_emplace(usage.window, usage.counts);
    if (!is_new && found->second != usage.counts) {
        m_violation = fmt::format("window {} was reported with different figures", usage.window);
    }
}

void report_simulation::change_holder(std::size_t host) {
    get_holder().state.reset();
    m_holder = host;
    get_holder().state.reset();
    ++m_term;
}

void report_simulation::restore_older_copy(std::size_t lost_states, bool keeps_lease) {
    m_topic.resize(m_topic.size() - std::min(lost_states, m_topic.size()));
    ++m_era;
    get_holder().state.reset();
    if (!keeps_lease) {
        change_holder(m_holder);
    }
}

void report_simulation::restart(std::size_t host) {
    m_reporters.at(host) = {};
    if (host == m_holder) {
        change_holder((host + 1) % hosts);
    }
}

void report_simulation::deliver_late() {
    if (m_late_appends.empty()) {
        return;
    }
    const late_append appended = m_late_appends.front();
    m_late_appends.erase(m_late_appends.begin());
    if (appended.at == m_topic.size()) {
        m_topic.push_back(appended.state);
    }
}

} // namespace dragonflywell::testing
