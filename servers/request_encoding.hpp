#pragma once

#include <string>

#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Returns whether the target and the fields of a request can stand in its header. Otherwise, the server would read
/// another request than the one that was meant, or two. Thread safe.
[[nodiscard]] bool is_sendable(const http_request& request);

/// Encodes a request, with the Content-Length of its body. Precondition: it is sendable. Thread safe.
[[nodiscard]] std::string encode_request(const http_request& request);

} // namespace dragonflywell::servers
