#include "policy/prefix_cache.hpp"

#include <iterator>

namespace dragonflywell::policy {

void prefix_cache::set_capacity(std::uint64_t capacity_tokens) {
    m_capacity_tokens = capacity_tokens;
    evict();
}

void prefix_cache::touch(std::span<const prefix_block> parts) {
    // The first part is touched last: without it the later ones are of no use, so that it should stay longest.
    for (auto position = parts.rbegin(); position != parts.rend(); ++position) {
        const prefix_block& part = *position;
        const auto found = m_parts.find(part.id);
        if (found != m_parts.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(part);
        m_parts.emplace(part.id, m_order.begin());
        m_held_tokens += part.tokens;
    }
    evict();
}

std::uint64_t prefix_cache::get_cached_tokens(std::span<const prefix_block> parts) const {
    std::uint64_t tokens = 0;
    for (const prefix_block& part : parts) {
        if (!m_parts.contains(part.id)) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void prefix_cache::clear() {
    m_order.clear();
    m_parts.clear();
    m_held_tokens = 0;
}

void prefix_cache::evict() {
    while (m_held_tokens > m_capacity_tokens && !m_order.empty()) {
        m_held_tokens -= m_order.back().tokens;
        m_parts.erase(m_order.back().id);
        m_order.pop_back();
    }
}

} // namespace dragonflywell::policy
