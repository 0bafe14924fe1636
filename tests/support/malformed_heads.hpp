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

} // namespace dragonflywell::testing
