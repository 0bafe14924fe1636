#pragma once

#include "servers/call.hpp"
#include "servers/http_types.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// How callers write their requests, and how they are refused. Thread safe.
class caller_dialect {
public:
    caller_dialect() = default;
    caller_dialect(const caller_dialect&) = delete;
    caller_dialect& operator=(const caller_dialect&) = delete;
    caller_dialect(caller_dialect&&) = delete;
    caller_dialect& operator=(caller_dialect&&) = delete;
    virtual ~caller_dialect() = default;

    /// Decodes a request. Throws `request_refused` for one that isn't proper.
    [[nodiscard]] virtual call decode(http_request request) const = 0;

    /// Returns the answer that tells of a refusal or a failure.
    [[nodiscard]] virtual http_response make_refusal(const request_refused& refusal) const = 0;
};

} // namespace dragonflywell::servers
