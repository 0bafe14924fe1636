#include "core/endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fmt/format.h>

namespace dragonflywell {

namespace {

constexpr std::string_view address_characters = "0123456789abcdefABCDEF:.";

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (fault != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    // The library also accepts a zone id with any text, and ignores what follows a null character.
    if (address.find_first_not_of(address_characters) != std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code invalid;
    boost::asio::ip::make_address(std::string(address), invalid);
    if (invalid) {
        return std::nullopt;
    }
    return endpoint{.address = std::string(address), .port = port};
}

std::string format_endpoint(const endpoint& value) {
    const bool is_v6 = value.address.find(':') != std::string::npos;
    return is_v6 ? fmt::format("[{}]:{}", value.address, value.port) : fmt::format("{}:{}", value.address, value.port);
}

} // namespace dragonflywell
