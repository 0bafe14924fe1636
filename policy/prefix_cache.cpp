#include "policy/prefix_cache.hpp"

#include <iterator>

namespace dragonflywell::policy {

void prefix_cache::set_capacity(std::uint64_t capacity_tokens) {
    m_capacity_tokens = capacity_tokens;
    evict();
}

void prefix_cache::touch(std::span<const prefix_block> blocks) {
    // The first block is touched last, so that it is evicted last: later blocks are useless without it.
    for (auto position = blocks.rbegin(); position != blocks.rend(); ++position) {
        const prefix_block& block = *position;
        const auto found = m_blocks.find(block.id);
        if (found != m_blocks.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(block);
        m_blocks.emplace(block.id, m_order.begin());
        m_held_tokens += block.tokens;
    }
    evict();
}

std::uint64_t prefix_cache::get_cached_tokens(std::span<const prefix_block> blocks) const {
    std::uint64_t tokens = 0;
    for (const prefix_block& block : blocks) {
        if (!m_blocks.contains(block.id)) {
            break;
        }
        tokens += block.tokens;
    }
    return tokens;
}

void prefix_cache::clear() {
    m_order.clear();
    m_blocks.clear();
    m_held_tokens = 0;
}

void prefix_cache::evict() {
    while (m_held_tokens > m_capacity_tokens && !m_order.empty()) {
        m_held_tokens -= m_order.back().tokens;
        m_blocks.erase(m_order.back().id);
        m_order.pop_back();
    }
}

} // namespace dragonflywell::policy
