#pragma once

#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Copies the end-to-end headers of a backend server's response to the caller's response; hop-by-hop headers are
/// dropped. Thread safe.
template <typename Body>
void copy_response_headers(const http::response_header<>& from, http::response<Body>& to) {
    for (const auto& field : from) {
        switch (field.name()) {
        case http::field::connection:
        case http::field::keep_alive:
        case http::field::transfer_encoding:
        case http::field::content_length:
        case http::field::trailer:
        case http::field::upgrade:
        case http::field::proxy_authenticate:
            break;
        default:
            to.insert(field.name(), field.name_string(), field.value());
        }
    }
}

/// Returns a response to the caller with the status, the reason phrase and the end-to-end headers of a backend server's
/// response. The status keeps its number also if the HTTP library has no name for it. Precondition: the status is a
/// number that HTTP permits, as in each response that `backend_exchange` accepts. Thread safe.
template <typename Body>
[[nodiscard]] http::response<Body> make_caller_response(const http::response_header<>& from) {
    http::response<Body> response(http::status(from.result_int()), 11);
    response.reason(from.reason());
    copy_response_headers(from, response);
    return response;
}

} // namespace dragonflywell::servers
