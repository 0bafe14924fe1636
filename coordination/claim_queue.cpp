#include "coordination/claim_queue.hpp"

#include <utility>

namespace dragonflywell::coordination {

void claim_queue::claim(const claim_request& request, std::function<void(claim_result)> on_answer) {
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_is_closed) {
            m_work.claims.push_back({.request = request, .on_answer = std::move(on_answer)});
            m_work_available.notify_one();
            return;
        }
    }
    on_answer({.status = claim_status::log_unavailable});
}

void claim_queue::settle(claim_settlement settlement) {
    const std::scoped_lock lock(m_mutex);
    m_work.settlements.push_back(std::move(settlement));
    m_work_available.notify_one();
}

pending_claim_work claim_queue::take_all(duration timeout) {
    std::unique_lock lock(m_mutex);
    m_work_available.wait_for(lock, timeout, [this] { return !m_work.claims.empty() || !m_work.settlements.empty(); });
    return std::exchange(m_work, {});
}

void claim_queue::close() {
    std::vector<pending_claim> refused;
    {
        const std::scoped_lock lock(m_mutex);
        m_is_closed = true;
        refused = std::exchange(m_work.claims, {});
    }
    for (const pending_claim& claim : refused) {
        claim.on_answer({.status = claim_status::log_unavailable});
    }
}

} // namespace dragonflywell::coordination
