#include "fleet/serving_view.hpp"

#include <algorithm>

namespace dragonflywell::fleet {

serving_view::serving_view(serving_configuration configuration) : m_configuration(std::move(configuration)) {
    const std::vector<route>& routes = m_configuration.routes;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        m_routes_by_host[routes[index].host].push_back(index);
    }
    for (auto& [host, indices] : m_routes_by_host) {
        std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
            return routes[left].path_prefix.size() > routes[right].path_prefix.size();
        });
    }
    for (std::size_t index = 0; index < m_configuration.organisations.size(); ++index) {
        for (const std::string& key : m_configuration.organisations[index].keys) {
            m_organisations_by_key.emplace(key, index);
        }
    }
    for (std::size_t index = 0; index < m_configuration.services.size(); ++index) {
        m_services.emplace(m_configuration.services[index].name, index);
    }
}

const route* serving_view::find_route(std::string_view host, std::string_view path) const {
    const auto found = m_routes_by_host.find(host);
    if (found == m_routes_by_host.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        const route& candidate = m_configuration.routes[index];
        if (path.starts_with(candidate.path_prefix)) {
            return &candidate;
        }
    }
    return nullptr;
}

const served_organisation* serving_view::find_organisation(std::string_view key) const {
    const auto found = m_organisations_by_key.find(key);
    return found == m_organisations_by_key.end() ? nullptr : &m_configuration.organisations[found->second];
}

std::set<service_name> serving_view::get_named_services() const {
    std::set<service_name> services;
    for (const service_description& service : m_configuration.services) {
        services.insert(service.name);
    }
    for (const route& route : m_configuration.routes) {
        for (const route_share& share : route.shares) {
            services.insert(share.service);
        }
    }
    return services;
}

const service_description* serving_view::find_service(const service_name& name) const {
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &m_configuration.services[found->second];
}

} // namespace dragonflywell::fleet
