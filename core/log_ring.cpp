#include "core/log_ring.hpp"

namespace dragonflywell {

void log_ring::push(std::string line, bool is_weighty) {
    const std::scoped_lock lock(m_mutex);
    m_bytes += line.size();
    (is_weighty ? m_weighty : m_light).push_back({.number = m_next_number++, .line = std::move(line)});
    while (m_bytes > m_limit_bytes) {
        drop_one();
    }
}

std::string log_ring::take(std::size_t most_bytes) {
    const std::scoped_lock lock(m_mutex);
    std::string text;
    while (!(m_weighty.empty() && m_light.empty()) && (text.empty() || text.size() < most_bytes)) {
        text += take_one();
    }
    return text;
}

bool log_ring::is_empty() const {
    const std::scoped_lock lock(m_mutex);
    return m_weighty.empty() && m_light.empty();
}

std::uint64_t log_ring::get_dropped() const {
    const std::scoped_lock lock(m_mutex);
    return m_dropped;
}

void log_ring::drop_one() {
    std::deque<entry>& lines = m_light.empty() ? m_weighty : m_light;
    m_bytes -= lines.front().line.size();
    lines.pop_front();
    ++m_dropped;
}

std::string log_ring::take_one() {
    const bool is_weighty_next =
        m_light.empty() || (!m_weighty.empty() && m_weighty.front().number < m_light.front().number);
    std::deque<entry>& lines = is_weighty_next ? m_weighty : m_light;
    std::string line = std::move(lines.front().line);
    lines.pop_front();
    m_bytes -= line.size();
    return line;
}

} // namespace dragonflywell
