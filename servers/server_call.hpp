#pragma once

#include <functional>
#include <optional>

#include "servers/http_types.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// What the exchange of a call to a backend server outside of a request is to use, so that what the server says of
/// itself is observed there, too.
struct server_call {
    /// See `exchange_options`.
    std::function<bool()> may_send;
    std::function<void(const http::response_header<>&)> on_response_head;
};

/// Takes a permit, without waiting, for a call that may be left out. Returns nothing if the limit of the server leaves
/// no room for it. The permit is given back if nothing was sent. Precondition: the state outlives the call.
[[nodiscard]] std::optional<server_call> try_begin_call(serving_state& state, const backend_server_name& server);

} // namespace dragonflywell::servers
