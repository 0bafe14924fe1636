#include "policy/cut_off_state.hpp"

namespace dragonflywell::policy {

void cut_off_state::set_cut_off(bool is_cut_off, steady_time now) noexcept {
    if (!is_cut_off) {
        m_since.store(not_cut_off, std::memory_order_relaxed);
        return;
    }
    duration::rep expected = not_cut_off;
    m_since.compare_exchange_strong(expected, now.time_since_epoch().count(), std::memory_order_relaxed);
}

std::optional<duration> cut_off_state::get_cut_off_duration(steady_time now) const noexcept {
    const duration::rep since = m_since.load(std::memory_order_relaxed);
    if (since == not_cut_off) {
        return std::nullopt;
    }
    return now.time_since_epoch() - duration(since);
}

bool may_serve_cut_off(const fleet::organisation& organisation, std::optional<duration> cut_off_for) {
    if (!cut_off_for || organisation.when_cut_off == fleet::cut_off_behaviour::serve) {
        return true;
    }
    return *cut_off_for <= organisation.cut_off_grace;
}

} // namespace dragonflywell::policy
