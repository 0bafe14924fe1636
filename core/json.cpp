#include "core/json.hpp"

#include <fmt/format.h>

#include "core/error.hpp"

namespace dragonflywell::json {

namespace {

const boost::json::value& find(const boost::json::object& object, std::string_view key) {
    const boost::json::value* value = object.if_contains(key);
    if (value == nullptr) {
        throw malformed_message_error(fmt::format("key \"{}\" is missing", key));
    }
    return *value;
}

[[noreturn]] void throw_wrong_type(std::string_view key, std::string_view expected) {
    throw malformed_message_error(fmt::format("key \"{}\" must be {}", key, expected));
}

std::uint64_t to_unsigned(const boost::json::value& value, std::string_view key) {
    if (value.is_uint64()) {
        return value.get_uint64();
    }
    if (value.is_int64() && value.get_int64() >= 0) {
        return static_cast<std::uint64_t>(value.get_int64());
    }
    throw_wrong_type(key, "a non-negative integer");
}

std::string to_string(const boost::json::value& value, std::string_view key) {
    if (!value.is_string()) {
        throw_wrong_type(key, "a string");
    }
    return std::string(value.get_string());
}

boost::json::value parse(std::string_view text, const boost::json::parse_options& options) {
    boost::json::error_code fault;
    boost::json::value value = boost::json::parse(text, fault, boost::json::storage_ptr(), options);
    if (fault) {
        throw malformed_message_error("not JSON: " + fault.message());
    }
    return value;
}

} // namespace

boost::json::value parse(std::string_view text) {
    return parse(text, boost::json::parse_options());
}

boost::json::value parse_any_bytes(std::string_view text) {
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    return parse(text, options);
}

const boost::json::object& as_object(const boost::json::value& value, std::string_view what) {
    if (!value.is_object()) {
        throw malformed_message_error(fmt::format("{} must be an object", what));
    }
    return value.get_object();
}

std::string get_string(const boost::json::object& object, std::string_view key) {
    return to_string(find(object, key), key);
}

std::uint64_t get_unsigned(const boost::json::object& object, std::string_view key) {
    return to_unsigned(find(object, key), key);
}

const boost::json::array& get_array(const boost::json::object& object, std::string_view key) {
    const boost::json::value& value = find(object, key);
    if (!value.is_array()) {
        throw_wrong_type(key, "an array");
    }
    return value.get_array();
}

const boost::json::object& get_object(const boost::json::object& object, std::string_view key) {
    const boost::json::value& value = find(object, key);
    if (!value.is_object()) {
        throw_wrong_type(key, "an object");
    }
    return value.get_object();
}

std::string get_string_or(const boost::json::object& object, std::string_view key, std::string_view fallback) {
    const boost::json::value* value = object.if_contains(key);
    return value == nullptr ? std::string(fallback) : to_string(*value, key);
}

std::uint64_t get_unsigned_or(const boost::json::object& object, std::string_view key, std::uint64_t fallback) {
    const boost::json::value* value = object.if_contains(key);
    return value == nullptr ? fallback : to_unsigned(*value, key);
}

double to_number(const boost::json::value& value, std::string_view what) {
    if (!value.is_number()) {
        throw_wrong_type(what, "a number");
    }
    return value.to_number<double>();
}

double get_number_or(const boost::json::object& object, std::string_view key, double fallback) {
    const boost::json::value* value = object.if_contains(key);
    return value == nullptr || value->is_null() ? fallback : to_number(*value, key);
}

duration get_duration_or(const boost::json::object& object, std::string_view key, duration unit, duration fallback) {
    constexpr double max_units = 1e12;
    const boost::json::value* value = object.if_contains(key);
    if (value == nullptr || value->is_null()) {
        return fallback;
    }
    const double units = to_number(*value, key);
    if (!(units >= 0 && units <= max_units)) {
        throw_wrong_type(key, "a non-negative duration");
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::nano>(units * static_cast<double>(unit.count())));
}

bool get_bool_or(const boost::json::object& object, std::string_view key, bool fallback) {
    const boost::json::value* value = object.if_contains(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        throw_wrong_type(key, "true or false");
    }
    return value->get_bool();
}

} // namespace dragonflywell::json
