#include "core/log_buffer.hpp"

namespace dragonflywell {

void log_buffer::push(std::string line, bool is_high_priority) {
    const std::scoped_lock lock(m_mutex);
    m_bytes += line.size();
    (is_high_priority ? m_high_priority : m_low_priority)
        .push_back({.number = m_next_number++, .line = std::move(line)});
    while (m_bytes > m_limit_bytes) {
        drop_one();
    }
}

std::string log_buffer::take(std::size_t max_bytes) {
    const std::scoped_lock lock(m_mutex);
    std::string text;
    while (!(m_high_priority.empty() && m_low_priority.empty()) && (text.empty() || text.size() < max_bytes)) {
        text += take_one();
    }
    return text;
}

bool log_buffer::is_empty() const {
    const std::scoped_lock lock(m_mutex);
    return m_high_priority.empty() && m_low_priority.empty();
}

std::uint64_t log_buffer::get_dropped() const {
    const std::scoped_lock lock(m_mutex);
    return m_dropped;
}

void log_buffer::drop_one() {
    std::deque<entry>& lines = m_low_priority.empty() ? m_high_priority : m_low_priority;
    m_bytes -= lines.front().line.size();
    lines.pop_front();
    ++m_dropped;
}

std::string log_buffer::take_one() {
    const bool is_weighty_next =
        m_low_priority.empty() ||
        (!m_high_priority.empty() && m_high_priority.front().number < m_low_priority.front().number);
    std::deque<entry>& lines = is_weighty_next ? m_high_priority : m_low_priority;
    std::string line = std::move(lines.front().line);
    lines.pop_front();
    m_bytes -= line.size();
    return line;
}

} // namespace dragonflywell
