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
    m_pending.push_back({.engine = access.engine, .parts = {shared.begin(), shared.end()}});
}

std::vector<digest_prefix_access> shared_prefixes::take(steady_time now) {
    std::erase_if(m_announced_at,
                  [&](const auto& announced) { return now - announced.second >= m_options.repeat_interval; });
    std::vector<digest_prefix_access> pending = std::exchange(m_pending, {});
    if (pending.size() > m_options.max_prefix_accesses) {
        pending.erase(pending.begin(), pending.end() - static_cast<std::ptrdiff_t>(m_options.max_prefix_accesses));
    }
    return pending;
}

} // namespace dragonflywell::servers
