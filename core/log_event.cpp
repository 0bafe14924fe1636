#include "core/log_event.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

namespace dragonflywell {

namespace {

std::string quote(std::string_view text) {
    return boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

} // namespace

log_event::log_event(std::string_view name) : m_text("{\"event\":") {
    m_text += quote(name);
}

log_event& log_event::add(std::string_view field, std::string_view value) {
    add_name(field);
    m_text += quote(value);
    return *this;
}

log_event& log_event::add(std::string_view field, double value) {
    return add_number(field, fmt::format("{:.6g}", value));
}

log_event& log_event::add(std::string_view field, bool value) {
    return add_number(field, value ? "true" : "false");
}

log_event& log_event::add(std::string_view field, duration value) {
    return add_number(field, fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(value).count()));
}

void log_event::write(spdlog::logger& log, spdlog::level::level_enum level) const {
    if (log.should_log(level)) {
        log.log(level, get_text());
    }
}

log_event& log_event::add_number(std::string_view field, std::string_view digits) {
    add_name(field);
    m_text += digits;
    return *this;
}

void log_event::add_name(std::string_view field) {
    m_text += ",\"";
    m_text += field;
    m_text += "\":";
}

} // namespace dragonflywell
