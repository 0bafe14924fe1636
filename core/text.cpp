#include "core/text.hpp"

#include <algorithm>
#include <boost/locale/utf.hpp>

namespace dragonflywell {

namespace {

constexpr std::size_t max_entry_name_bytes = 255;
constexpr char delete_character = '\x7f';

bool is_control(char character) noexcept {
    return static_cast<unsigned char>(character) < static_cast<unsigned char>(' ') || character == delete_character;
}

bool is_letter_or_digit(char character) noexcept {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

} // namespace

bool is_utf8(std::string_view text) {
    namespace utf = boost::locale::utf;
    const char* next = text.data();
    const char* const end = text.data() + text.size();
    while (next != end) {
        const utf::code_point decoded = utf::utf_traits<char>::decode(next, end);
        if (decoded == utf::illegal || decoded == utf::incomplete) {
            return false;
        }
    }
    return true;
}

bool is_entry_name(std::string_view text) {
    const bool has_valid_size = !text.empty() && text.size() <= max_entry_name_bytes;
    return has_valid_size && !text.starts_with(' ') && !text.ends_with(' ') &&
           std::none_of(text.begin(), text.end(), is_control) && is_utf8(text);
}

bool is_field_name(std::string_view text) noexcept {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char character) {
        return is_letter_or_digit(character) || marks.find(character) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view text) noexcept {
    return std::none_of(text.begin(), text.end(),
                        [](char character) { return is_control(character) && character != '\t'; });
}

bool is_request_target(std::string_view text) noexcept {
    return !text.empty() && std::none_of(text.begin(), text.end(),
                                         [](char character) { return is_control(character) || character == ' '; });
}

} // namespace dragonflywell
