#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflywell {

/// The address on which a process listens: an IP address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port{};

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Returns nothing when the text is not an IP address
/// and port.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats an endpoint so that `parse_endpoint` can read it.
[[nodiscard]] std::string format_endpoint(const endpoint& value);

} // namespace dragonflywell
