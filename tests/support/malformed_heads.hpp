#pragma once

#include <fmt/format.h>
#include <string>
#include <vector>

namespace dragonflywell::testing {

/// A response whose header is not HTTP.
struct malformed_head {
    std::string version{"HTTP/1.1"};
    /// Replaces the status.
    std::string status{};
    /// Fields that are added.
    std::string fields{};

    /// Returns the response with an otherwise proper header. `own_fields`: each with its line ending.
    [[nodiscard]] std::string encode(unsigned proper_status, const std::string& own_fields,
                                     const std::string& body) const {
        return fmt::format("{} {} X\r\n{}{}Content-Length: {}\r\n\r\n{}", version,
                           status.empty() ? std::to_string(proper_status) : status, own_fields, fields, body.size(),
                           body);
    }
};

/// Returns headers with a status that is none.
inline std::vector<malformed_head> make_odd_statuses() {
    std::vector<malformed_head> heads;
    for (const std::string status :
         {"000", "001", "099", "00", "20", "2", "2000", "0200", "2x0", "-20", "+20", "20\x01"}) {
        heads.push_back({.status = status});
    }
    for (const std::string version : {"HTTP/2.0", "HTTP/0.9", "http/1.1", "HTP/1.1", "HTTP/1", "HTTP/11.1"}) {
        heads.push_back({.version = version});
    }
    return heads;
}

/// Returns headers with a field that has no proper name, or whose length is told in two ways.
inline std::vector<malformed_head> make_odd_fields() {
    std::vector<malformed_head> heads;
    using namespace std::string_literals;
    for (const std::string& field : {"X Y: 1"s,
                                     "X\tY: 1"s,
                                     "X\x01Y: 1"s,
                                     "X\0Y: 1"s,
                                     "X\x7fY: 1"s,
                                     "X\xc3\xa9: 1"s,
                                     "X\rY: 1"s,
                                     ": 1"s,
                                     " X: 1"s,
                                     "\tX: 1"s,
                                     "X : 1"s,
                                     "X\t: 1"s,
                                     "X"s,
                                     "X(Y): 1"s,
                                     "X: \x01"s,
                                     "X: a\0b"s,
                                     "Content-Length : 1"s,
                                     "Transfer-Encoding : chunked"s,
                                     "Content-Length: 1"s,
                                     "Content-Length: +1"s,
                                     "Transfer-Encoding: chunked"s,
                                     "Dragonflywell Server-Seal: seal"s}) {
        heads.push_back({.fields = field + "\r\n"});
    }
    return heads;
}

} // namespace dragonflywell::testing
