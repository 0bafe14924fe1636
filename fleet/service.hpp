#pragma once

#include <string>
#include <vector>

#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// One way into a plain service.
struct service_route {
    service_name service;
    std::string path_prefix;
    /// HTTP methods that the route takes, in capitals.
    std::vector<std::string> methods;
    /// Whether a request may be sent again when its outcome is unknown.
    bool is_idempotent{false};
    /// Whether a request needs no key.
    bool is_public{false};

    friend bool operator==(const service_route&, const service_route&) = default;
};

} // namespace dragonflywell::fleet
