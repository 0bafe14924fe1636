#pragma once

#include <map>
#include <span>
#include <vector>

#include "fleet/manifest.hpp"

namespace dragonflywell::servers {

/// Index of the backend servers of one manifest by the model or service that they offer, so that a request does not
/// scan the whole fleet. Immutable after construction and therefore thread safe.
class backend_index {
public:
    backend_index() = default;

    /// Precondition: `manifest` is neither moved nor changed while the index is in use.
    explicit backend_index(const fleet::manifest& manifest);

    /// Returns the servers in the order of their names; empty when no server offers it.
    [[nodiscard]] std::span<const fleet::backend_server* const> get_engines(const model_name& model) const;
    [[nodiscard]] std::span<const fleet::backend_server* const> get_instances(const service_name& service) const;

private:
    using server_list = std::vector<const fleet::backend_server*>;

    std::map<model_name, server_list> m_engines;
    std::map<service_name, server_list> m_instances;
};

} // namespace dragonflywell::servers
