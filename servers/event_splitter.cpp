#include "servers/event_splitter.hpp"

#include <algorithm>

namespace dragonflywell::servers {

namespace {

constexpr std::string_view id_name = "id:";
/// Bytes of an event's end that may be there before its last one arrives.
constexpr std::size_t max_partial_end_bytes = std::string_view("\r\n\r").size();

/// Returns the end position of the last complete event that ends after the position `searched`, or npos when there is
/// none. Lines may end with CR LF.
std::size_t find_last_end(std::string_view whole, std::size_t searched) {
    const std::size_t begin = searched > max_partial_end_bytes ? searched - max_partial_end_bytes : 0;
    const std::string_view text = whole.substr(begin);
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t with_returns = text.rfind("\r\n\r\n");
    std::size_t end = std::string_view::npos;
    if (plain != std::string_view::npos) {
        end = plain + std::string_view("\n\n").size();
    }
    if (with_returns != std::string_view::npos) {
        const std::size_t candidate = with_returns + std::string_view("\r\n\r\n").size();
        end = end == std::string_view::npos ? candidate : std::max(end, candidate);
    }
    return end == std::string_view::npos ? end : begin + end;
}

} // namespace

std::string event_splitter::take_events() {
    // Extra empty lines before or after an event belong to no event and are passed on at once.
    const std::size_t whole = find_last_end(m_pending, m_searched);
    const std::size_t next = m_pending.find_first_not_of("\r\n", whole == std::string::npos ? 0 : whole);
    const std::size_t end = std::min(next, m_pending.size());
    m_searched = m_pending.size() - end;
    if (end == 0) {
        return {};
    }
    std::string events = m_pending.substr(0, end);
    m_pending.erase(0, end);
    record_last_id(events);
    return events;
}

void event_splitter::record_last_id(std::string_view events) {
    while (!events.empty()) {
        // A line ends with LF, CR LF or CR. The empty line between CR and LF is ignored.
        const std::size_t line_end = events.find_first_of("\r\n");
        std::string_view line = events.substr(0, line_end);
        events.remove_prefix(line_end == std::string_view::npos ? events.size() : line_end + 1);
        if (!line.starts_with(id_name)) {
            continue;
        }
        line.remove_prefix(id_name.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        m_last_id = line;
        ++m_ids;
    }
}

} // namespace dragonflywell::servers
