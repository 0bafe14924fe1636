#include "servers/shared_prompts.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dragonflywell::servers {

void shared_prompts::add(const digest_touch& touch, steady_time now) {
    if (touch.parts.size() < 2) {
        return;
    }
    const std::span<const policy::cached_part> shared(touch.parts.data(), touch.parts.size() - 1);
    const std::uint64_t tokens =
        std::accumulate(shared.begin(), shared.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const policy::cached_part& part) { return sum + part.tokens; });
    if (tokens < m_options.least_tokens) {
        return;
    }
    const auto [told, is_new] = m_told_at.try_emplace({touch.engine, shared.back().id}, now);
    if (!is_new && now - told->second < m_options.repeat_after) {
        return;
    }
    told->second = now;
    m_news.push_back({.engine = touch.engine, .parts = {shared.begin(), shared.end()}});
}

std::vector<digest_touch> shared_prompts::take(steady_time now) {
    std::erase_if(m_told_at, [&](const auto& told) { return now - told.second >= m_options.repeat_after; });
    std::vector<digest_touch> news = std::exchange(m_news, {});
    if (news.size() > m_options.most_touches) {
        news.erase(news.begin(), news.end() - static_cast<std::ptrdiff_t>(m_options.most_touches));
    }
    return news;
}

} // namespace dragonflywell::servers
