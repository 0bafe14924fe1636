#pragma once

#include "fleet/manifest.hpp"
#include "servers/entry_context.hpp"
#include "servers/http_types.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// Returns the organisation that owns the API key of the request. Throws `request_refused` for a missing, unknown or
/// revoked key. Thread safe.
[[nodiscard]] organisation_name require_organisation(const fleet::manifest& manifest, const http_request& request);

/// Refuses an organisation that has asked not to be served while this availability zone is cut off from the others and
/// a revoked key might go unnoticed. Throws `request_refused`. Precondition: the manifest has the organisation. Thread
/// safe.
void check_cut_off(const entry_context& context, const fleet::manifest& manifest,
                   const organisation_name& organisation);

/// Refuses an organisation that has used up its tokens of the billing window, until the next window. Throws
/// `request_refused`. Precondition: the manifest has the organisation. Thread safe.
void check_cost_limit(const entry_context& context, const fleet::manifest& manifest,
                      const organisation_name& organisation);

/// Returns the route of a plain service with the longest matching path prefix. Throws `request_refused` when there is
/// none or it does not permit the method. Thread safe.
[[nodiscard]] const fleet::service_route& require_route(const fleet::manifest& manifest, std::string_view path,
                                                        std::string_view method);

/// Returns a copy of the caller's request for a backend server, without the API key and hop-by-hop headers. Thread
/// safe.
[[nodiscard]] http_request make_backend_request(const http_request& request);

} // namespace dragonflywell::servers
