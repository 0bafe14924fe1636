#include "daemon/engine_observer.hpp"

namespace dragonflywell::daemon {

engine_observer::engine_observer(platform::engine_control& engines, const clock_source& time,
                                 engine_observer_options options)
    : m_control(&engines), m_time(&time), m_options(options) {}

void engine_observer::refresh(const fleet::manifest& manifest) {
    std::erase_if(m_engines, [&](const auto& item) { return !manifest.backend_servers.contains(item.first); });
    for (const auto& [name, server] : manifest.backend_servers) {
        if (server.get_engine() != nullptr) {
            refresh_one(server);
        }
    }
}

void engine_observer::refresh_one(const fleet::backend_server& server) {
    const auto failed = m_failed_at.find(server.name);
    if (failed != m_failed_at.end() && m_time->now() < failed->second + m_options.retry_unreachable) {
        return;
    }
    observed_engine& engine = m_engines[server.name];
    try {
        engine.load = m_control->get_load(server.address);
        engine.reported_at = m_time->now();
        engine.is_reachable = true;
        m_failed_at.erase(server.name);
    } catch (const platform::engine_unreachable_error&) {
        engine.is_reachable = false;
        m_failed_at[server.name] = m_time->now();
    }
}

} // namespace dragonflywell::daemon
