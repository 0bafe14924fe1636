#include "servers/request_encoding.hpp"

#include <algorithm>
#include <string_view>

#include "core/text.hpp"

namespace dragonflywell::servers {

namespace {

std::string_view to_view(beast::string_view text) {
    return {text.data(), text.size()};
}

} // namespace

bool is_sendable(const http_request& request) {
    return is_request_target(to_view(request.target())) &&
           std::all_of(request.begin(), request.end(), [](const auto& field) {
               return is_field_name(to_view(field.name_string())) && is_field_value(to_view(field.value()));
           });
}

std::string encode_request(const http_request& request) {
    std::string text;
    text.reserve(request.body().size() + 1024);
    text.append(request.method_string()).append(" ").append(request.target()).append(" HTTP/1.1\r\n");
    for (const auto& field : request) {
        if (field.name() != http::field::content_length) {
            text.append(field.name_string()).append(": ").append(field.value()).append("\r\n");
        }
    }
    const bool has_body = !request.body().empty() || request.method() == http::verb::post ||
                          request.method() == http::verb::put || request.method() == http::verb::patch;
    if (has_body) {
        text.append("Content-Length: ").append(std::to_string(request.body().size())).append("\r\n");
    }
    return text.append("\r\n").append(request.body());
}

} // namespace dragonflywell::servers
