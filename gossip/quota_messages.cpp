#include "gossip/quota_messages.hpp"

#include <boost/json.hpp>
#include <limits>
#include <string_view>
#include <utility>

#include "core/error.hpp"
#include "core/json.hpp"
#include "policy/quota_limit.hpp"

namespace dragonflywell::gossip {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

/// Names of the fields that differ between messages about organisations and about servers.
struct field_names {
    std::string_view needs;
    std::string_view allowances;
    std::string_view subject;
};

const field_names& get_names(quota_subjects subjects) {
    static constexpr field_names organisations{
        .needs = "quota_needs", .allowances = "quota_allowances", .subject = "organisation"};
    static constexpr field_names servers{.needs = "limit_needs", .allowances = "limit_allowances", .subject = "server"};
    return subjects == quota_subjects::organisations ? organisations : servers;
}

duration get_time(const object& source, std::string_view key) {
    const std::uint64_t count = json::get_unsigned_or(source, key, 0);
    if (count > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        throw malformed_message_error("a time in a message about quotas is out of range");
    }
    return std::chrono::nanoseconds(static_cast<std::int64_t>(count));
}

double get_amount(const object& source, std::string_view key) {
    const double amount = json::get_number_or(source, key, 0);
    if (!(amount >= 0)) {
        throw malformed_message_error("an amount in a message about quotas is negative");
    }
    return amount;
}

std::uint32_t get_part(const object& source) {
    const std::uint64_t part = json::get_unsigned(source, "part");
    if (part >= policy::quota_parts) {
        throw malformed_message_error("a message about quotas names an unknown part");
    }
    return static_cast<std::uint32_t>(part);
}

/// Leaves out numbers that are zero, as most are, so that many organisations fit into a datagram.
void add_amount(object& target, std::string_view key, double amount) {
    if (amount != 0) {
        target[key] = amount;
    }
}

void add_time(object& target, std::string_view key, duration time) {
    if (time != duration::zero()) {
        target[key] = time.count();
    }
}

value encode_need(const policy::quota_need& need, std::string_view subject) {
    object encoded{{subject, need.subject.value()}};
    add_amount(encoded, "used_total", need.used_total);
    add_amount(encoded, "held", need.held);
    add_amount(encoded, "waiting", need.waiting);
    add_amount(encoded, "expected", need.expected);
    add_amount(encoded, "refused", need.refused);
    // Zero is a value.
    if (need.named_limit) {
        encoded["named_limit"] = *need.named_limit;
    }
    return encoded;
}

policy::quota_need decode_need(const object& source, std::string_view subject) {
    policy::quota_need need;
    need.subject = quota_subject(json::get_string(source, subject));
    // What no server ran may exceed what was used since the host began to count.
    need.used_total = json::get_number_or(source, "used_total", 0);
    need.held = get_amount(source, "held");
    need.waiting = get_amount(source, "waiting");
    need.expected = get_amount(source, "expected");
    need.refused = get_amount(source, "refused");
    if (source.contains("named_limit")) {
        need.named_limit = json::get_number_or(source, "named_limit", 0);
        if (!policy::is_valid_server_limit(*need.named_limit)) {
            throw malformed_message_error("a message about limits names one that is out of range");
        }
    }
    return need;
}

value encode_allowance(const policy::quota_allowance& allowance, std::string_view subject) {
    object encoded{{subject, allowance.subject.value()}};
    add_amount(encoded, "granted", allowance.granted);
    add_time(encoded, "booked_from_ns", allowance.booked_from);
    add_amount(encoded, "booked_rate", allowance.booked_rate);
    add_time(encoded, "blocked_for_ns", allowance.blocked_for);
    return encoded;
}

policy::quota_allowance decode_allowance(const object& source, std::string_view subject) {
    policy::quota_allowance allowance;
    allowance.subject = quota_subject(json::get_string(source, subject));
    allowance.granted = get_amount(source, "granted");
    allowance.booked_from = get_time(source, "booked_from_ns");
    allowance.booked_rate = get_amount(source, "booked_rate");
    allowance.blocked_for = get_time(source, "blocked_for_ns");
    return allowance;
}

template <typename Choice>
Choice get_choice(const object& source, std::string_view key, Choice last) {
    const std::uint64_t number = json::get_unsigned_or(source, key, 0);
    if (number > static_cast<std::uint64_t>(last)) {
        throw malformed_message_error("a message about quotas has an unknown " + std::string(key));
    }
    return static_cast<Choice>(number);
}

} // namespace

std::string encode_quota_request(const policy::quota_request& request, quota_subjects subjects) {
    const field_names& names = get_names(subjects);
    array needs;
    needs.reserve(request.needs.size());
    for (const policy::quota_need& need : request.needs) {
        needs.push_back(encode_need(need, names.subject));
    }
    object encoded{{"host", request.host},
                   {"incarnation", request.incarnation},
                   {"part", request.part},
                   {"sequence", request.sequence},
                   {"pledge", static_cast<unsigned>(request.pledge)},
                   {names.needs, std::move(needs)}};
    if (request.owner_incarnation != 0) {
        encoded["owner_incarnation"] = request.owner_incarnation;
        encoded["owner_time_ns"] = request.owner_time.count();
        encoded["held_for_ns"] = request.held_for.count();
    }
    if (request.start != policy::quota_start::none) {
        encoded["start"] = static_cast<unsigned>(request.start);
    }
    return boost::json::serialize(encoded);
}

std::string encode_quota_grant(const policy::quota_grant& grant, quota_subjects subjects) {
    const field_names& names = get_names(subjects);
    array allowances;
    allowances.reserve(grant.allowances.size());
    for (const policy::quota_allowance& allowance : grant.allowances) {
        allowances.push_back(encode_allowance(allowance, names.subject));
    }
    object encoded{
        {"host", grant.owner},        {"incarnation", grant.incarnation},    {"part", grant.part},
        {"sequence", grant.sequence}, {"owner_time_ns", grant.time.count()}, {names.allowances, std::move(allowances)}};
    if (grant.is_released) {
        encoded["is_released"] = true;
    }
    return boost::json::serialize(encoded);
}

bool is_quota_request(const boost::json::object& message, quota_subjects subjects) {
    return message.contains(get_names(subjects).needs);
}

bool is_quota_grant(const boost::json::object& message, quota_subjects subjects) {
    return message.contains(get_names(subjects).allowances);
}

policy::quota_request decode_quota_request(const boost::json::object& message, quota_subjects subjects) {
    const field_names& names = get_names(subjects);
    policy::quota_request request;
    request.host = json::get_string(message, "host");
    request.incarnation = json::get_unsigned(message, "incarnation");
    request.part = get_part(message);
    request.sequence = json::get_unsigned(message, "sequence");
    request.owner_incarnation = json::get_unsigned_or(message, "owner_incarnation", 0);
    request.owner_time = get_time(message, "owner_time_ns");
    request.held_for = get_time(message, "held_for_ns");
    request.pledge = get_choice(message, "pledge", policy::quota_pledge::released);
    request.start = get_choice(message, "start", policy::quota_start::first_start);
    for (const value& need : json::get_array(message, names.needs)) {
        request.needs.push_back(decode_need(json::as_object(need, names.needs), names.subject));
    }
    return request;
}

policy::quota_grant decode_quota_grant(const boost::json::object& message, quota_subjects subjects) {
    const field_names& names = get_names(subjects);
    policy::quota_grant grant;
    grant.owner = json::get_string(message, "host");
    grant.incarnation = json::get_unsigned(message, "incarnation");
    grant.part = get_part(message);
    grant.sequence = json::get_unsigned(message, "sequence");
    grant.time = get_time(message, "owner_time_ns");
    grant.is_released = json::get_bool_or(message, "is_released", false);
    for (const value& allowance : json::get_array(message, names.allowances)) {
        grant.allowances.push_back(decode_allowance(json::as_object(allowance, names.allowances), names.subject));
    }
    return grant;
}

} // namespace dragonflywell::gossip
