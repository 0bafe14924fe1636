#include "servers/shared_prefixes.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dragonflywell::servers {

void shared_prefixes::add(const digest_prefix_access& touch, steady_time now) {
    if (touch.parts.size() < 2) {
        return;
    }
    const std::span<const policy::prefix_block> shared(touch.parts.data(), touch.parts.size() - 1);
    const std::uint64_t tokens =
        std::accumulate(shared.begin(), shared.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const policy::prefix_block& part) { return sum + part.tokens; });
    if (tokens < m_options.min_tokens) {
        return;
    }
    const auto [told, is_new] = m_told_at.try_emplace({touch.engine, shared.back().id}, now);
    if (!is_new && now - told->second < m_options.repeat_interval) {
        return;
    }
    told->second = now;
    m_news.push_back({.engine = touch.engine, .parts = {shared.begin(), shared.end()}});
}

std::vector<digest_prefix_access> shared_prefixes::take(steady_time now) {
    std::erase_if(m_told_at, [&](const auto& told) { return now - told.second >= m_options.repeat_interval; });
    std::vector<digest_prefix_access> news = std::exchange(m_news, {});
    if (news.size() > m_options.max_prefix_accesses) {
        news.erase(news.begin(), news.end() - static_cast<std::ptrdiff_t>(m_options.max_prefix_accesses));
    }
    return news;
}

} // namespace dragonflywell::servers
