#include "policy/fair_queue.hpp"

#include <algorithm>

namespace dragonflywell::policy {

void fair_queue::push(ticket_number ticket, const organisation_name& organisation, std::uint32_t weight,
                      request_cost cost) {
    const double work =
        m_prefill_share * static_cast<double>(cost.prefill_tokens) + static_cast<double>(cost.decode_tokens);
    const double start = get_start(organisation);
    const double span = work / static_cast<double>(weight);
    m_finish[organisation] = start + span;
    m_waiting[ticket] = {.organisation = organisation, .start = start, .work = work, .span = span};
    m_order.emplace(start, ticket);
}

std::optional<ticket_number> fair_queue::peek() const {
    if (m_order.empty()) {
        return std::nullopt;
    }
    return m_order.begin()->second;
}

void fair_queue::serve(ticket_number ticket) {
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
        return;
    }
    m_virtual_time = std::max(m_virtual_time, found->second.start);
    erase(ticket);
    // An organisation whose finish tag has passed starts at the virtual time again, so its tag need not be kept.
    std::erase_if(m_finish, [this](const auto& item) { return item.second <= m_virtual_time; });
}

void fair_queue::withdraw(ticket_number ticket) {
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
        return;
    }
    if (const auto finish = m_finish.find(found->second.organisation); finish != m_finish.end()) {
        finish->second -= found->second.span;
    }
    erase(ticket);
}

double fair_queue::get_work_ahead(const organisation_name& organisation) const {
    const double start = get_start(organisation);
    double work = 0.0;
    for (const auto& [tag, ticket] : m_order) {
        if (tag > start) {
            break;
        }
        work += m_waiting.at(ticket).work;
    }
    return work;
}

void fair_queue::erase(ticket_number ticket) {
    const auto found = m_waiting.find(ticket);
    m_order.erase({found->second.start, ticket});
    m_waiting.erase(found);
}

double fair_queue::get_start(const organisation_name& organisation) const {
    const auto finish = m_finish.find(organisation);
    return finish == m_finish.end() ? m_virtual_time : std::max(m_virtual_time, finish->second);
}

} // namespace dragonflywell::policy
