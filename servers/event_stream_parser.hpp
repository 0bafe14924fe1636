#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflywell::servers {

/// One server-sent event.
struct server_sent_event {
    std::string id;
    std::string data;
};

/// Parses a byte stream into server-sent events. Not thread safe.
class event_stream_parser {
public:
    void add_bytes(std::string_view bytes);

    /// Returns the next complete event, or nothing when more bytes are needed.
    [[nodiscard]] std::optional<server_sent_event> take_event();

private:
    std::string m_pending;
    std::size_t m_start{0};
};

[[nodiscard]] std::string format_event(const server_sent_event& event);

} // namespace dragonflywell::servers
