#include "policy/retry_budget.hpp"

#include <algorithm>

namespace dragonflywell::policy {

retry_budget::retry_budget(retry_budget_options options, steady_time now)
    : m_options(options), m_saved(options.most_saved), m_refilled(now) {}

void retry_budget::set_options(const retry_budget_options& options) {
    const std::scoped_lock lock(m_mutex);
    m_options = options;
    m_saved = std::min(m_saved, m_options.most_saved);
}

void retry_budget::add_request() {
    const std::scoped_lock lock(m_mutex);
    m_saved = std::min(m_options.most_saved, m_saved + m_options.per_request);
}

bool retry_budget::take_retry(steady_time now) {
    const std::scoped_lock lock(m_mutex);
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_refilled).count());
    m_refilled = std::max(m_refilled, now);
    m_saved = std::min(m_options.most_saved, m_saved + seconds * m_options.per_second);
    if (m_saved < 1.0) {
        return false;
    }
    m_saved -= 1.0;
    return true;
}

} // namespace dragonflywell::policy
