#include "ctl/log_line.hpp"

#include <boost/json.hpp>
#include <ctime>
#include <fmt/format.h>
#include <iomanip>
#include <sstream>

namespace dragonflywell::ctl {

namespace {

/// Parses a UTC time such as 2026-12-04T11:03:45.573Z.
std::optional<wall_time> parse_time(const std::string& text) {
    std::istringstream source(text);
    std::tm parts{};
    source >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    double fraction = 0;
    if (!source) {
        return std::nullopt;
    }
    if (source.peek() == '.') {
        source >> fraction;
    }
    const auto seconds = std::chrono::system_clock::from_time_t(::timegm(&parts));
    return std::chrono::time_point_cast<wall_time::duration>(seconds) +
           std::chrono::duration_cast<duration>(std::chrono::duration<double>(fraction));
}

std::string get_string(const boost::json::object& object, std::string_view key) {
    const boost::json::value* value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

} // namespace

std::string log_line::get_text(std::string_view field) const {
    const boost::json::value* value = fields.if_contains(field);
    if (value == nullptr) {
        return "";
    }
    if (value->is_string()) {
        return std::string(value->as_string());
    }
    return value->is_double() ? fmt::format("{:g}", value->as_double()) : boost::json::serialize(*value);
}

std::optional<log_line> parse_log_line(std::string_view text) {
    const std::size_t begin = text.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view body = text.substr(begin);
    boost::system::error_code fault;
    boost::json::value document = boost::json::parse(boost::json::string_view(body.data(), body.size()), fault);
    if (fault || !document.is_object()) {
        return std::nullopt;
    }
    boost::json::object& fields = document.as_object();
    const std::string time = get_string(fields, "time");
    const std::string event = get_string(fields, "event");
    const std::optional<wall_time> moment = parse_time(time);
    if (event.empty() || !moment) {
        return std::nullopt;
    }
    const std::string host = get_string(fields, "host");
    return log_line{.moment = *moment, .time = time, .host = host, .event = event, .fields = std::move(fields)};
}

std::vector<log_line> parse_log(std::string_view text) {
    std::vector<log_line> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        if (std::optional<log_line> line = parse_log_line(text.substr(0, end))) {
            lines.push_back(std::move(*line));
        }
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

} // namespace dragonflywell::ctl
