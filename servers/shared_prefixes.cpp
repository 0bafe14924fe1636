#include "servers/shared_prefixes.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dragonflywell::servers {

void shared_prefixes::add(const digest_prefix_access& access, steady_time now) {
    if (access.parts.size() < 2) {
        return;
    }
    const std::span<const policy::prefix_block> shared(access.parts.data(), access.parts.size() - 1);
    const std::uint64_t tokens =
        std::accumulate(shared.begin(), shared.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const policy::prefix_block& part) { return sum + part.tokens; });
    if (tokens < m_options.min_tokens) {
        return;
    }
    const auto [announced, is_new] = m_announced_at.try_emplace({access.engine, shared.back().id}, now);
    if (!is_new && now - announced->second < m_options.repeat_interval) {
        return;
    }
    announced->second = now;
    if (m_pending.size() >= m_options.max_prefix_accesses) {
        m_pending.erase(m_pending.begin());
    }
    m_pending.push_back({.engine = access.engine, .parts = {shared.begin(), shared.end()}});
}

std::vector<digest_prefix_access> shared_prefixes::take(steady_time now, std::size_t max_bytes) {
    std::erase_if(m_announced_at,
                  [&](const auto& announced) { return now - announced.second >= m_options.repeat_interval; });
    std::vector<digest_prefix_access> taken;
    std::size_t room = max_bytes;
    while (!m_pending.empty() && get_encoded_size(m_pending.back()) <= room) {
        room -= get_encoded_size(m_pending.back());
        taken.push_back(std::move(m_pending.back()));
        m_pending.pop_back();
    }
    std::reverse(taken.begin(), taken.end());
    return taken;
}

} // namespace dragonflywell::servers
