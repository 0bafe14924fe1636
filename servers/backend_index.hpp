#pragma once

#include <map>
#include <span>
#include <vector>

#include "fleet/manifest.hpp"

namespace dragonflywell::servers {

/// The backend servers of one manifest by what they offer, so that a request does not look through the whole fleet.
/// Immutable after construction, hence safe to share between threads.
class backend_index {
public:
    backend_index() = default;

    /// Precondition: `manifest` stays where it is and unchanged for as long as the index is used.
    explicit backend_index(const fleet::manifest& manifest);

    /// Returns the servers in order of name; empty when nothing offers it.
    [[nodiscard]] std::span<const fleet::backend_server* const> get_engines(const model_name& model) const;
    [[nodiscard]] std::span<const fleet::backend_server* const> get_instances(const service_name& service) const;

private:
    using server_list = std::vector<const fleet::backend_server*>;

    std::map<model_name, server_list> m_engines;
    std::map<service_name, server_list> m_instances;
};

} // namespace dragonflywell::servers
