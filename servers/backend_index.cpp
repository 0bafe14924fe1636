#include "servers/backend_index.hpp"

namespace dragonflywell::servers {

backend_index::backend_index(const fleet::manifest& manifest) {
    for (const auto& [name, server] : manifest.backend_servers) {
        if (const fleet::engine* engine = server.get_engine(); engine != nullptr) {
            m_engines[engine->model].push_back(&server);
        }
        if (const service_name* service = server.get_service(); service != nullptr) {
            m_instances[*service].push_back(&server);
        }
    }
}

std::span<const fleet::backend_server* const> backend_index::get_engines(const model_name& model) const {
    const auto found = m_engines.find(model);
    return found == m_engines.end() ? std::span<const fleet::backend_server* const>{} : found->second;
}

std::span<const fleet::backend_server* const> backend_index::get_instances(const service_name& service) const {
    const auto found = m_instances.find(service);
    return found == m_instances.end() ? std::span<const fleet::backend_server* const>{} : found->second;
}

} // namespace dragonflywell::servers
