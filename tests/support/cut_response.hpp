#pragma once

#include <fmt/format.h>
#include <string>
#include <string_view>

#include "standin/raw_server.hpp"

namespace dragonflywell::testing {

namespace asio = boost::asio;

/// How a response tells its end.
enum class framing {
    by_length,
    by_chunks,
    by_chunks_and_trailer,
    by_connection_end,
};

/// How a server ends its connection.
enum class connection_ending { closed, reset };

/// The bytes of a response.
struct encoded_response {
    std::string bytes;
    /// Size of the header with its empty line.
    std::size_t head_size;

    /// Returns the number of beginnings, the empty one included, that are not the whole response when the connection is
    /// closed after them. A response that ends with its connection looks complete as soon as its header is.
    [[nodiscard]] std::size_t count_cuts(framing frame) const {
        return frame == framing::by_connection_end ? head_size : bytes.size();
    }
};

/// Encodes a response. `head` consists of the status line and headers, each with its line ending.
/// Precondition: a body that is sent in chunks is longer than the first one, which has five bytes.
inline encoded_response encode_response(std::string head, framing frame, std::string_view body) {
    std::string encoded_body(body);
    if (frame == framing::by_length) {
        head += fmt::format("Content-Length: {}\r\n", body.size());
    }
    if (frame == framing::by_chunks || frame == framing::by_chunks_and_trailer) {
        head += "Transfer-Encoding: chunked\r\n";
        // The second chunk is the longer one, so that its size has two digits.
        constexpr std::size_t first_chunk = 5;
        const std::string_view trailer = frame == framing::by_chunks ? "" : "X-Sum: 1234\r\n";
        encoded_body = fmt::format("{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n{}\r\n", first_chunk, body.substr(0, first_chunk),
                                   body.size() - first_chunk, body.substr(first_chunk), trailer);
    }
    head += "\r\n";
    return {.bytes = head + encoded_body, .head_size = head.size()};
}

/// Sends a beginning of a response and ends the connection.
inline standin::raw_server::behaviour cut_response(const encoded_response& response, std::size_t sent_bytes,
                                                   connection_ending ending = connection_ending::closed) {
    return [sent = response.bytes.substr(0, sent_bytes), ending](
               const servers::http_request& /*request*/, standin::raw_connection& connection) -> asio::awaitable<void> {
        co_await connection.write(sent);
        if (ending == connection_ending::reset) {
            connection.reset();
        } else {
            connection.close();
        }
    };
}

} // namespace dragonflywell::testing
