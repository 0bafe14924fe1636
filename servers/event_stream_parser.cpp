#include "servers/event_stream_parser.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::size_t compaction_bytes = 64 * 1024;

std::string_view get_field_value(std::string_view line, std::size_t name_size) {
    line.remove_prefix(name_size);
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

void add_line(server_sent_event& event, std::string_view line) {
    constexpr std::string_view data_name = "data:";
    constexpr std::string_view id_name = "id:";
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.starts_with(data_name)) {
        event.data += event.data.empty() ? "" : "\n";
        event.data += get_field_value(line, data_name.size());
    } else if (line.starts_with(id_name)) {
        event.id = get_field_value(line, id_name.size());
    }
}

} // namespace

void event_stream_parser::add_bytes(std::string_view bytes) {
    if (m_start > compaction_bytes) {
        m_pending.erase(0, m_start);
        m_start = 0;
    }
    m_pending += bytes;
}

std::optional<server_sent_event> event_stream_parser::take_event() {
    std::size_t end = m_pending.find("\n\n", m_start);
    while (end != std::string::npos) {
        server_sent_event event;
        std::string_view block = std::string_view(m_pending).substr(m_start, end - m_start);
        while (!block.empty()) {
            const std::size_t line_end = block.find('\n');
            add_line(event, block.substr(0, line_end));
            block.remove_prefix(line_end == std::string_view::npos ? block.size() : line_end + 1);
        }
        m_start = end + 2;
        if (!event.data.empty()) {
            return event;
        }
        end = m_pending.find("\n\n", m_start);
    }
    return std::nullopt;
}

std::string format_event(const server_sent_event& event) {
    std::string text;
    if (!event.id.empty()) {
        text += "id: " + event.id + "\n";
    }
    return text + "data: " + event.data + "\n\n";
}

} // namespace dragonflywell::servers
