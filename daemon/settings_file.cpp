#include "daemon/settings_file.hpp"

#include <tuple>

#include "core/error.hpp"
#include "core/read_file.hpp"

namespace dragonflywell::daemon {

namespace {

auto get_host_section(const host_settings& settings) {
    return std::tie(settings.name, settings.zone, settings.address, settings.capacity);
}

auto get_listen_section(const host_settings& settings) {
    return std::tie(settings.callers, settings.ready, settings.metrics, settings.hosts);
}

auto get_orders_section(const host_settings& settings) {
    return std::tie(settings.orders, settings.order_calls_per_second, settings.duties);
}

} // namespace

host_settings settings_file::read() {
    m_text = read_file(m_path);
    return parse_host_settings(m_text, m_path, m_fallback);
}

bool settings_file::has_changed() const {
    try {
        return read_file(m_path) != m_text;
    } catch (const invalid_input_error&) {
        // The platform may be replacing the file at this time.
        return false;
    }
}

std::vector<std::string> list_sections_for_restart(const host_settings& before, const host_settings& after) {
    std::vector<std::string> sections;
    if (get_host_section(before) != get_host_section(after)) {
        sections.emplace_back("host");
    }
    if (get_listen_section(before) != get_listen_section(after)) {
        sections.emplace_back("listen");
    }
    if (before.store != after.store) {
        sections.emplace_back("store");
    }
    if (get_orders_section(before) != get_orders_section(after)) {
        sections.emplace_back("orders");
    }
    if (before.bounds != after.bounds) {
        sections.emplace_back("bounds");
    }
    return sections;
}

} // namespace dragonflywell::daemon
