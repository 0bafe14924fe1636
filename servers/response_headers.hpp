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

} // namespace dragonflywell::servers
