#include "servers/response_head.hpp"

#include <string_view>

namespace dragonflywell::servers {

namespace {

/// Largest number of bytes that one read asks for.
constexpr std::size_t max_read_bytes = 64UL * 1024;

bool has_folded_line(std::string_view head) {
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

std::string_view get_text(const beast::flat_buffer& buffer) {
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

/// Reads some bytes into the buffer.
asio::awaitable<void> read_more(backend_connection& connection, error_code& fault) {
    const std::size_t most = beast::read_size(connection.buffer, max_read_bytes);
    if (most == 0) {
        fault = http::error::buffer_overflow;
        co_return;
    }
    fault = {};
    const std::size_t received =
        co_await connection.stream.async_read_some(connection.buffer.prepare(most), store_error(fault));
    connection.buffer.commit(received);
}

} // namespace

asio::awaitable<std::size_t> read_response_head(backend_connection& connection, response_parser& parser,
                                                error_code& fault) {
    std::size_t head_bytes = 0;
    for (;;) {
        const std::string_view received = get_text(connection.buffer);
        fault = http::error::need_more;
        if (!received.empty()) {
            // The parser takes a field only when it has seen that no folded line follows.
            const std::size_t parsed = parser.put(connection.buffer.data(), fault);
            if (has_folded_line(received.substr(0, parsed))) {
                fault = http::error::bad_field;
            }
            connection.buffer.consume(parsed);
            head_bytes += parsed;
        }
        if (fault != http::error::need_more) {
            co_return head_bytes;
        }
        co_await read_more(connection, fault);
        if (fault == asio::error::eof) {
            fault = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        if (fault) {
            co_return head_bytes;
        }
    }
}

} // namespace dragonflywell::servers
