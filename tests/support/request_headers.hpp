#pragma once

#include <string>

#include "servers/http_types.hpp"

namespace dragonflywell::testing {

/// Returns the value of a header, empty if the request does not have it.
inline std::string get(const servers::http_request& request, const std::string& name) {
    return std::string(request[name]);
}

inline bool has(const servers::http_request& request, const std::string& name) {
    return request.find(name) != request.end();
}

} // namespace dragonflywell::testing
