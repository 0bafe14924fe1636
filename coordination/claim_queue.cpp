#include "coordination/claim_queue.hpp"

#include <utility>

namespace dragonflywell::coordination {

void claim_queue::claim(const claim_request& request, std::function<void(claim_result)> on_answer) {
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_is_closed) {
            m_round.claims.push_back({.request = request, .on_answer = std::move(on_answer)});
            m_filled.notify_one();
            return;
        }
    }
    on_answer({.status = claim_status::log_unavailable});
}

void claim_queue::settle(claim_settlement settlement) {
    const std::scoped_lock lock(m_mutex);
    m_round.settlements.push_back(std::move(settlement));
    m_filled.notify_one();
}

pending_claim_work claim_queue::take_all(duration most) {
    std::unique_lock lock(m_mutex);
    m_filled.wait_for(lock, most, [this] { return !m_round.claims.empty() || !m_round.settlements.empty(); });
    return std::exchange(m_round, {});
}

void claim_queue::close() {
    std::vector<pending_claim> left;
    {
        const std::scoped_lock lock(m_mutex);
        m_is_closed = true;
        left = std::exchange(m_round.claims, {});
    }
    for (const pending_claim& claim : left) {
        claim.on_answer({.status = claim_status::log_unavailable});
    }
}

} // namespace dragonflywell::coordination
