#pragma once

#include <string>
#include <vector>

#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// A route to a plain service.
struct service_route {
    service_name service;
    std::string path_prefix;
    /// HTTP methods that the route accepts, in upper case.
    std::vector<std::string> methods;
    /// Whether a request may be retried if its outcome is unknown.
    bool is_idempotent{false};
    /// Whether requests need no API key.
    bool is_public{false};

    friend bool operator==(const service_route&, const service_route&) = default;
};

} // namespace dragonflywell::fleet
