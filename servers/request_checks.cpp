#include "servers/request_checks.hpp"

#include <algorithm>
#include <array>

#include "policy/access_control.hpp"
#include "policy/cost_limit.hpp"
#include "servers/backend_choice.hpp"

namespace dragonflywell::servers {

namespace {

std::string_view to_view(beast::string_view text) {
    return {text.data(), text.size()};
}

bool matches_prefix(std::string_view path, const fleet::service_route& route) {
    if (!path.starts_with(route.path_prefix)) {
        return false;
    }
    const bool ends_at_segment = path.size() == route.path_prefix.size() || route.path_prefix.ends_with('/') ||
                                 path[route.path_prefix.size()] == '/';
    return ends_at_segment;
}

bool permits_method(const fleet::service_route& route, std::string_view method) {
    return std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

} // namespace

organisation_name require_organisation(const fleet::manifest& manifest, const http_request& request) {
    const auto header = request.find(http::field::authorization);
    if (header == request.end()) {
        throw request_refused(policy::refusal_reason::missing_key, policy::request_outcome::not_run,
                              "the request needs a header \"Authorization: Bearer KEY\"");
    }
    const std::optional<std::string_view> key = policy::get_bearer_key(to_view(header->value()));
    std::optional<organisation_name> owner;
    if (key) {
        owner = policy::find_key_owner(manifest, *key);
    }
    if (!owner) {
        throw request_refused(policy::refusal_reason::unknown_key, policy::request_outcome::not_run,
                              "the API key is unknown or revoked");
    }
    return *owner;
}

void check_cut_off(const entry_context& context, const fleet::manifest& manifest,
                   const organisation_name& organisation) {
    const std::optional<duration> cut_off_for = context.cut_off.get_cut_off_duration(context.time.now());
    if (!policy::may_serve_cut_off(manifest.organisations.at(organisation), cut_off_for)) {
        throw request_refused(policy::refusal_reason::zone_cut_off, policy::request_outcome::not_run,
                              "this availability zone is cut off, so a revoked key might go unnoticed");
    }
}

void check_cost_limit(const entry_context& context, const fleet::manifest& manifest,
                      const organisation_name& organisation) {
    const wall_time now = context.time.wall_now();
    const coordination::window_number window = get_window(now, manifest);
    const coordination::usage_totals used = context.usage.get({.organisation = organisation, .window = window});
    const std::uint64_t tokens = used.prompt_tokens + used.completion_tokens;
    if (!policy::is_over_cost_limit(manifest.organisations.at(organisation), tokens, context.limits.entry_hosts)) {
        return;
    }
    const duration into_window = now.time_since_epoch() % manifest.window_length;
    throw request_refused(policy::refusal_reason::over_cost_limit, policy::request_outcome::not_run,
                          "the organisation has used up its tokens of this billing window",
                          std::chrono::ceil<std::chrono::seconds>(manifest.window_length - into_window));
}

const fleet::service_route& require_route(const fleet::manifest& manifest, std::string_view path,
                                          std::string_view method) {
    const fleet::service_route* best = nullptr;
    bool has_path = false;
    for (const fleet::service_route& route : manifest.routes) {
        if (!matches_prefix(path, route)) {
            continue;
        }
        has_path = true;
        if (permits_method(route, method) && (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
            best = &route;
        }
    }
    if (best != nullptr) {
        return *best;
    }
    if (has_path) {
        throw request_refused(policy::refusal_reason::method_not_allowed, policy::request_outcome::not_run,
                              "the route does not permit this method");
    }
    throw request_refused(policy::refusal_reason::no_such_route, policy::request_outcome::not_run,
                          "no route matches the path of the request");
}

http_request make_backend_request(const http_request& request) {
    http_request copy(request.method(), request.target(), 11);
    constexpr std::array hop_by_hop{http::field::authorization,    http::field::proxy_authorization,
                                    http::field::connection,       http::field::keep_alive,
                                    http::field::proxy_connection, http::field::te,
                                    http::field::trailer,          http::field::transfer_encoding,
                                    http::field::upgrade,          http::field::content_length,
                                    http::field::expect,           http::field::host};
    for (const auto& header : request) {
        const bool is_dropped = std::find(hop_by_hop.begin(), hop_by_hop.end(), header.name()) != hop_by_hop.end();
        if (!is_dropped && header.name_string() != "x-api-key") {
            copy.insert(header.name_string(), header.value());
        }
    }
    copy.body() = request.body();
    copy.prepare_payload();
    return copy;
}

} // namespace dragonflywell::servers
