#pragma once

#include "fleet/manifest.hpp"
#include "servers/entry_context.hpp"
#include "servers/http_types.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

/// Returns the organisation whose key came with the request.
/// Throws `request_refused` for a missing, unknown or revoked key. Thread safe.
[[nodiscard]] organisation_name require_organisation(const fleet::manifest& manifest, const http_request& request);

/// Refuses an organisation that does not want to be served while a revoked key could not be noticed.
/// Throws `request_refused`. Precondition: the manifest has the organisation. Thread safe.
void check_cut_off(const entry_context& context, const fleet::manifest& manifest,
                   const organisation_name& organisation);

/// Refuses an organisation that has used up its tokens of the billing window, until the next one.
/// Throws `request_refused`. Precondition: the manifest has the organisation. Thread safe.
void check_cost_limit(const entry_context& context, const fleet::manifest& manifest,
                      const organisation_name& organisation);

/// Returns the route of a plain service, the longest matching prefix first.
/// Throws `request_refused` when there is none or it does not take the method. Thread safe.
[[nodiscard]] const fleet::service_route& require_route(const fleet::manifest& manifest, std::string_view path,
                                                        std::string_view method);

/// Returns a copy of the caller's request that may go to a backend server: no key, no hop-by-hop header. Thread safe.
[[nodiscard]] http_request make_backend_request(const http_request& request);

} // namespace dragonflywell::servers
