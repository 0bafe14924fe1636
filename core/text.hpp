#pragma once

#include <string_view>

namespace dragonflywell {

/// Checks of text that other programs have written. All are thread safe.

/// Returns whether the bytes are well-formed UTF-8.
[[nodiscard]] bool is_utf8(std::string_view text);

/// Returns whether text can name a server or a host: 1 to 255 bytes of UTF-8 without control characters, and without
/// blanks at its ends, so that it stands unchanged in a header field, a message and a log line.
[[nodiscard]] bool is_entry_name(std::string_view text);

/// Returns whether text can be the name of a header field of HTTP.
[[nodiscard]] bool is_field_name(std::string_view text) noexcept;

/// Returns whether text can be the value of a header field of HTTP: it contains no control character but the tab.
[[nodiscard]] bool is_field_value(std::string_view text) noexcept;

/// Returns whether text can be the target of an HTTP request: it is not empty and contains no blank and no control
/// character.
[[nodiscard]] bool is_request_target(std::string_view text) noexcept;

} // namespace dragonflywell
