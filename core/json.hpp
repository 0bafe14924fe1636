#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/clock.hpp"

namespace dragonflywell::json {

/// Typed access to JSON from untrusted sources.
/// Each function throws `malformed_message_error` that names the key when the value is missing or has another type.
[[nodiscard]] boost::json::value parse(std::string_view text);
/// As `parse`, but strings may have bytes that are no UTF-8, so that one of them does not make the document unreadable.
[[nodiscard]] boost::json::value parse_any_bytes(std::string_view text);
[[nodiscard]] const boost::json::object& as_object(const boost::json::value& value, std::string_view what);
[[nodiscard]] std::string get_string(const boost::json::object& object, std::string_view key);
[[nodiscard]] std::uint64_t get_unsigned(const boost::json::object& object, std::string_view key);
[[nodiscard]] const boost::json::array& get_array(const boost::json::object& object, std::string_view key);
[[nodiscard]] const boost::json::object& get_object(const boost::json::object& object, std::string_view key);

/// As above, with a fallback for a missing key.
[[nodiscard]] std::string get_string_or(const boost::json::object& object, std::string_view key,
                                        std::string_view fallback);
[[nodiscard]] std::uint64_t get_unsigned_or(const boost::json::object& object, std::string_view key,
                                            std::uint64_t fallback);
/// Accept integers and floating-point numbers. For `get_number_or`, null counts as missing.
[[nodiscard]] double to_number(const boost::json::value& value, std::string_view what);
[[nodiscard]] double get_number_or(const boost::json::object& object, std::string_view key, double fallback);
/// Returns a duration that is given as a number of `unit`, with or without a fraction. Null counts as missing. Also
/// throws when the number is negative or greater than 1e12.
[[nodiscard]] duration get_duration_or(const boost::json::object& object, std::string_view key, duration unit,
                                       duration fallback);
[[nodiscard]] bool get_bool_or(const boost::json::object& object, std::string_view key, bool fallback);

} // namespace dragonflywell::json
