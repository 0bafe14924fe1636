#include "policy/retry_budget.hpp"

#include <algorithm>

namespace dragonflywell::policy {

retry_budget::retry_budget(retry_budget_options options, steady_time started_at)
    : m_options(options), m_started_at(started_at) {}

void retry_budget::set_options(const retry_budget_options& options) {
    const std::scoped_lock lock(m_mutex);
    m_options = options;
}

void retry_budget::add_request(steady_time now) {
    const std::scoped_lock lock(m_mutex);
    ++get_bucket(now).requests;
}

bool retry_budget::try_acquire_retry(steady_time now) {
    const std::scoped_lock lock(m_mutex);
    bucket& current = get_bucket(now);
    std::uint32_t spent = 0;
    for (const bucket& counted : m_buckets) {
        spent += current.number - counted.number <= static_cast<std::int64_t>(bucket_count) ? counted.retries : 0;
    }
    if (spent + 1 > get_allowed(now)) {
        return false;
    }
    ++current.retries;
    return true;
}

retry_budget::bucket& retry_budget::get_bucket(steady_time now) {
    const std::int64_t number = get_bucket_number(now);
    bucket& current = m_buckets.at(static_cast<std::size_t>(number) % m_buckets.size());
    if (current.number != number) {
        current = {.number = number};
    }
    return current;
}

std::int64_t retry_budget::get_bucket_number(steady_time now) const {
    const duration age = std::max(duration::zero(), now - m_started_at);
    return age / (m_options.window / static_cast<std::int64_t>(bucket_count));
}

double retry_budget::get_allowed(steady_time now) const {
    const std::int64_t number = get_bucket_number(now);
    std::uint32_t requests = 0;
    for (const bucket& counted : m_buckets) {
        // The oldest bucket is left out because only a part of it lies within the window.
        requests += number - counted.number < static_cast<std::int64_t>(bucket_count) ? counted.requests : 0;
    }
    const double age = std::chrono::duration<double>(now - m_started_at) / m_options.window;
    return requests * m_options.retries_per_request + m_options.base_retries * std::clamp(age, 0.0, 1.0);
}

} // namespace dragonflywell::policy
