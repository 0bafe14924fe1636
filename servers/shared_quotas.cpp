#include "servers/shared_quotas.hpp"

#include <algorithm>
#include <utility>

namespace dragonflywell::servers {

namespace {

/// After the longest wait a decision is due at the next poll.
constexpr duration decision_margin = std::chrono::milliseconds(100);
constexpr duration default_retry_after = std::chrono::seconds(1);

} // namespace

shared_quotas::shared_quotas(asio::any_io_executor executor, const clock_source& time,
                             policy::quota_node_options options, shared_quota_metrics metrics)
    : m_executor(std::move(executor)), m_time(&time), m_node(std::move(options)), m_metrics(metrics) {}

asio::awaitable<shared_quotas::result> shared_quotas::decide(quota_subject subject, double amount, duration time_left) {
    const steady_time now = get_time();
    const steady_time wait_until = now + std::clamp(time_left, duration::zero(), max_quota_wait);
    result result;
    result.decision = m_node.check(subject, amount, wait_until, now);
    if (result.decision.answer != policy::quota_answer::waiting) {
        co_return result;
    }
    result.has_waited = true;
    const std::uint64_t ticket = result.decision.ticket;
    const auto waiting = std::make_shared<waiting_request>(m_executor);
    m_waiting.emplace(ticket, waiting);
    waiting->timer.expires_after(max_quota_wait + decision_margin);
    notify_change();
    if (!waiting->decision) {
        error_code ignored;
        co_await waiting->timer.async_wait(store_error(ignored));
    }
    m_waiting.erase(ticket);
    if (waiting->decision) {
        result.decision = *waiting->decision;
        co_return result;
    }
    m_node.cancel(subject, ticket);
    result.decision.answer = policy::quota_answer::refused;
    result.decision.retry_after = default_retry_after;
    co_return result;
}

void shared_quotas::set_hosts(const std::vector<policy::owner_candidate>& hosts) {
    m_node.set_hosts(hosts, get_time());
    notify_change();
}

std::vector<policy::outgoing_quota_request> shared_quotas::poll() {
    const steady_time now = get_time();
    std::vector<policy::outgoing_quota_request> requests = m_node.poll(now);
    for (const policy::quota_decision& decision : m_node.take_decisions()) {
        const auto found = m_waiting.find(decision.ticket);
        if (found != m_waiting.end()) {
            found->second->decision = decision;
            found->second->timer.cancel();
        }
    }
    count_exhausted();
    return requests;
}

void shared_quotas::count_exhausted() {
    m_metrics.exhausted->set(static_cast<std::int64_t>(m_node.count_blocked(get_time())));
}

std::optional<policy::quota_grant> shared_quotas::apply(const policy::quota_request& request) {
    std::optional<policy::quota_grant> answer = m_node.apply(request, get_time());
    if (answer) {
        for (const policy::quota_allowance& allowance : answer->allowances) {
            m_metrics.grants->add(allowance.granted > 0 ? 1 : 0);
            m_metrics.bookings->add(allowance.booked_rate > 0 ? 1 : 0);
        }
    }
    return answer;
}

void shared_quotas::apply(const policy::quota_grant& grant) {
    m_node.apply(grant, get_time());
    notify_change();
}

} // namespace dragonflywell::servers
