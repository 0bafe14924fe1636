#include "coordination/report_history.hpp"

#include <algorithm>

namespace dragonflywell::coordination {

namespace {

/// Number of windows whose final figures are remembered. Older ones can no longer be reported in time.
constexpr std::size_t max_remembered_windows = 8;

} // namespace

void report_history::record(const report_state& state, std::uint64_t term) {
    m_newest = state;
    m_term = term;
    for (const window_usage& usage : state.pending) {
        m_final[usage.window] = usage.counts;
    }
    while (m_final.size() > max_remembered_windows) {
        m_final.erase(m_final.begin());
    }
}

std::map<usage_window_number, usage_counts> report_history::get_known(const report_state& stored,
                                                                      usage_window_number settled) const {
    std::map<usage_window_number, usage_counts> known = m_final;
    for (const window_usage& usage : stored.pending) {
        if (usage.window <= settled) {
            known.try_emplace(usage.window, usage.counts);
        }
    }
    return known;
}

recovered_report_state report_history::recover(const report_state& stored, const new_holder& holder) const {
    if (m_term == holder.term) {
        recovered_report_state recovered{.state = m_newest, .skipped = {}};
        recovered.state.era = holder.era;
        recovered.state.settled = m_newest.last;
        return recovered;
    }
    const usage_window_number last = std::max(stored.last.value_or(holder.newest_due), holder.newest_due);
    // The figures that the stored state itself made final may come from an append that arrived late and was never
    // confirmed, while another holder made others final.
    const usage_window_number settled = stored.settled.value_or(stored.last.value_or(last) - 1);
    const std::map<usage_window_number, usage_counts> known = get_known(stored, settled);
    recovered_report_state recovered{.state = {.last = last, .pending = {}, .era = holder.era, .settled = last},
                                     .skipped = {}};
    for (const auto& [window, counts] : known) {
        recovered.state.pending.push_back({.window = window, .counts = counts});
    }
    for (usage_window_number window = settled + 1; window <= last; ++window) {
        if (!known.contains(window)) {
            recovered.skipped.push_back(window);
        }
    }
    return recovered;
}

} // namespace dragonflywell::coordination
