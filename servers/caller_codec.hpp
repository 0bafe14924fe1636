#pragma once

#include "servers/caller_request.hpp"
#include "servers/http_types.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// Decodes the requests of callers and encodes refusals. Thread safe.
class caller_codec {
public:
    caller_codec() = default;
    caller_codec(const caller_codec&) = delete;
    caller_codec& operator=(const caller_codec&) = delete;
    caller_codec(caller_codec&&) = delete;
    caller_codec& operator=(caller_codec&&) = delete;
    virtual ~caller_codec() = default;

    /// Decodes what decides on a request before its body is read: id, method, target, host, key and time limit. The
    /// other members stay empty. Throws `request_refused` for a malformed one.
    [[nodiscard]] virtual caller_request decode_head(const http::request_header<>& head) const = 0;

    /// Decodes a request. Throws `request_refused` for a malformed one.
    [[nodiscard]] virtual caller_request decode(http_request request) const = 0;

    /// Returns the response for a refusal or a failure.
    [[nodiscard]] virtual http_response make_refusal(const request_refused& refusal) const = 0;
};

} // namespace dragonflywell::servers
