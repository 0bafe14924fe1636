#include "gossip/relayed_configuration.hpp"

#include <array>
#include <boost/json.hpp>
#include <limits>
#include <string_view>

#include "core/error.hpp"
#include "core/json.hpp"

namespace dragonflywell::gossip {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

constexpr std::string_view changes_field = "configuration_changes";

std::int64_t encode_duration(duration time) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time).count();
}

duration decode_duration(const object& source, std::string_view key) {
    const std::uint64_t count = json::get_unsigned(source, key);
    if (count > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        throw malformed_message_error("a duration in a relayed configuration is out of range");
    }
    return std::chrono::nanoseconds(static_cast<std::int64_t>(count));
}

std::uint32_t get_small_number(const object& source, std::string_view key) {
    const std::uint64_t number = json::get_unsigned(source, key);
    if (number > std::numeric_limits<std::uint32_t>::max()) {
        throw malformed_message_error("a number in a relayed configuration is out of range");
    }
    return static_cast<std::uint32_t>(number);
}

constexpr std::array<std::string_view, 4> retry_names{"idempotent", "at_most_once", "stream", "resumable_stream"};

fleet::retry_policy decode_retry(const object& source) {
    const std::string name = json::get_string(source, "retry");
    for (std::size_t index = 0; index < retry_names.size(); ++index) {
        if (retry_names.at(index) == name) {
            return static_cast<fleet::retry_policy>(index);
        }
    }
    throw malformed_message_error("a relayed route has an unknown retry policy");
}

value encode_share(const fleet::route_share& share) {
    return object{{"service", share.service.value()}, {"weight", share.weight}};
}

fleet::route_share decode_share(const object& source) {
    return {.service = service_name(json::get_string(source, "service")), .weight = get_small_number(source, "weight")};
}

value encode_key(const fleet::route_key& key) {
    return object{{"host", key.host}, {"path_prefix", key.path_prefix}};
}

fleet::route_key decode_key(const object& source) {
    return {.host = json::get_string(source, "host"), .path_prefix = json::get_string(source, "path_prefix")};
}

template <typename Item, typename Encode>
array encode_list(const std::vector<Item>& items, Encode encode) {
    array list;
    list.reserve(items.size());
    for (const Item& item : items) {
        list.push_back(encode(item));
    }
    return list;
}

template <typename Decode>
auto decode_list(const object& source, std::string_view key, Decode decode) {
    std::vector<decltype(decode(source))> items;
    for (const value& item : json::get_array(source, key)) {
        items.push_back(decode(json::as_object(item, key)));
    }
    return items;
}

value encode_route(const fleet::route& route) {
    return object{{"name", route.name},
                  {"host", route.host},
                  {"path_prefix", route.path_prefix},
                  {"retry", retry_names.at(static_cast<std::size_t>(route.retry))},
                  {"shares", encode_list(route.shares, encode_share)},
                  {"timeout_ns", encode_duration(route.timeout)},
                  {"target_latency_ns", encode_duration(route.target_latency)},
                  {"target_gap_ns", encode_duration(route.target_gap)},
                  {"caller_patience_ns", encode_duration(route.caller_patience)},
                  {"max_attempts", route.max_attempts},
                  {"priority", route.priority},
                  {"is_public", route.is_public},
                  {"has_prompt_parts", route.has_prompt_parts}};
}

fleet::route decode_route(const object& source) {
    fleet::route route{.name = json::get_string(source, "name"),
                       .host = json::get_string(source, "host"),
                       .path_prefix = json::get_string(source, "path_prefix"),
                       .retry = decode_retry(source),
                       .shares = decode_list(source, "shares", decode_share),
                       .timeout = decode_duration(source, "timeout_ns"),
                       .target_latency = decode_duration(source, "target_latency_ns"),
                       .target_gap = decode_duration(source, "target_gap_ns"),
                       .caller_patience = decode_duration(source, "caller_patience_ns"),
                       .max_attempts = get_small_number(source, "max_attempts"),
                       .priority = get_small_number(source, "priority"),
                       .is_public = json::get_bool_or(source, "is_public", false),
                       .has_prompt_parts = json::get_bool_or(source, "has_prompt_parts", false)};
    if (route.shares.empty()) {
        throw malformed_message_error("a relayed route has no service");
    }
    return route;
}

constexpr std::string_view quota_field = "quota";

value encode_quota(const fleet::quota& quota) {
    return object{{"rate_per_second", quota.rate_per_second},
                  {"burst", quota.burst},
                  {"counts_tokens", quota.unit == fleet::quota_unit::tokens},
                  {"plain_tokens", quota.plain_tokens}};
}

fleet::quota decode_quota(const object& source) {
    fleet::quota quota;
    quota.rate_per_second = json::get_number_or(source, "rate_per_second", 0);
    quota.burst = json::get_number_or(source, "burst", 0);
    quota.plain_tokens = json::get_number_or(source, "plain_tokens", 0);
    if (json::get_bool_or(source, "counts_tokens", false)) {
        quota.unit = fleet::quota_unit::tokens;
    }
    if (!(quota.rate_per_second > 0) || !(quota.burst >= 0) || !(quota.plain_tokens >= 0)) {
        throw malformed_message_error("a quota in a relayed configuration is out of range");
    }
    return quota;
}

value encode_organisation(const fleet::served_organisation& organisation) {
    object encoded{{"name", organisation.name.value()},
                   {"keys", array(organisation.keys.begin(), organisation.keys.end())}};
    if (organisation.priority) {
        encoded["priority"] = *organisation.priority;
    }
    if (organisation.quota) {
        encoded[quota_field] = encode_quota(*organisation.quota);
    }
    return encoded;
}

fleet::served_organisation decode_organisation(const object& source) {
    fleet::served_organisation organisation{
        .name = organisation_name(json::get_string(source, "name")), .priority = {}, .keys = {}};
    if (source.contains("priority")) {
        organisation.priority = get_small_number(source, "priority");
    }
    for (const value& key : json::get_array(source, "keys")) {
        if (!key.is_string()) {
            throw malformed_message_error("a key of a relayed organisation is not a string");
        }
        organisation.keys.emplace_back(key.get_string());
    }
    if (source.contains(quota_field)) {
        organisation.quota = decode_quota(json::get_object(source, quota_field));
    }
    return organisation;
}

value encode_limits(const fleet::caller_limits& limits) {
    return object{{"header_bytes", limits.header_bytes},
                  {"body_bytes", limits.body_bytes},
                  {"header_timeout_ns", encode_duration(limits.header_timeout)},
                  {"idle_timeout_ns", encode_duration(limits.idle_timeout)}};
}

fleet::caller_limits decode_limits(const object& source) {
    return {.header_bytes = get_small_number(source, "header_bytes"),
            .body_bytes = json::get_unsigned(source, "body_bytes"),
            .header_timeout = decode_duration(source, "header_timeout_ns"),
            .idle_timeout = decode_duration(source, "idle_timeout_ns")};
}

value encode_change(const relayed_change& change) {
    const fleet::configuration_delta& delta = change.delta;
    const auto encode_name = [](const organisation_name& name) { return object{{"name", name.value()}}; };
    object encoded{{"base_version", delta.base_version},
                   {"version", delta.version},
                   {"era", change.next.era},
                   {"next_offset", change.next.offset},
                   {"removed_routes", encode_list(delta.removed_routes, encode_key)},
                   {"changed_routes", encode_list(delta.changed_routes, encode_route)},
                   {"removed_organisations", encode_list(delta.removed_organisations, encode_name)},
                   {"changed_organisations", encode_list(delta.changed_organisations, encode_organisation)}};
    if (delta.limits) {
        encoded["limits"] = encode_limits(*delta.limits);
    }
    return encoded;
}

fleet::configuration_delta decode_delta(const object& source) {
    const auto decode_name = [](const object& item) { return organisation_name(json::get_string(item, "name")); };
    // Assigned one by one, because of the compiler's fault with nested aggregates (CONTRIBUTING.md).
    fleet::configuration_delta delta;
    delta.base_version = json::get_unsigned(source, "base_version");
    delta.version = json::get_unsigned(source, "version");
    delta.removed_routes = decode_list(source, "removed_routes", decode_key);
    delta.changed_routes = decode_list(source, "changed_routes", decode_route);
    delta.removed_organisations = decode_list(source, "removed_organisations", decode_name);
    delta.changed_organisations = decode_list(source, "changed_organisations", decode_organisation);
    if (source.contains("limits")) {
        delta.limits = decode_limits(json::get_object(source, "limits"));
    }
    return delta;
}

relayed_change decode_change(const object& source) {
    relayed_change change;
    change.delta = decode_delta(source);
    // Hosts of an earlier version, which may run at the same time during an update, do not send the era.
    change.next.era = json::get_unsigned_or(source, "era", 0);
    if (change.next.era > max_log_era) {
        throw malformed_message_error("the era of a relayed configuration is out of range");
    }
    change.next.offset = json::get_unsigned(source, "next_offset");
    return change;
}

} // namespace

std::string encode_relayed_configuration(const relayed_configuration& changes) {
    return boost::json::serialize(object{{changes_field, encode_list(changes, encode_change)}});
}

bool is_relayed_configuration(const boost::json::object& message) {
    return message.contains(changes_field);
}

relayed_configuration decode_relayed_configuration(const boost::json::object& message) {
    return decode_list(message, changes_field, decode_change);
}

} // namespace dragonflywell::gossip
