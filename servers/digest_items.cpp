#include "servers/digest_items.hpp"

#include <algorithm>
#include <boost/json.hpp>

#include "core/error.hpp"
#include "core/json.hpp"
#include "policy/quota_limit.hpp"

namespace dragonflywell::servers {

using boost::json::array;
using boost::json::value;

namespace {

template <typename Item>
std::size_t measure_item(const Item& item) {
    constexpr std::size_t separator = 1;
    return boost::json::serialize(encode_item(item)).size() + separator;
}

/// Longest age of a report that another host may state.
constexpr std::chrono::microseconds max_report_age = std::chrono::hours(24);

duration get_age(const array& list, std::size_t index) {
    const std::uint64_t age = get_number(list, index);
    if (age > static_cast<std::uint64_t>(max_report_age.count())) {
        throw malformed_message_error("age in host digest is out of range");
    }
    return std::chrono::microseconds(age);
}

} // namespace

std::int64_t to_microseconds(duration span) {
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

std::uint64_t get_number(const array& list, std::size_t index) {
    if (index >= list.size() || !list[index].is_number()) {
        throw malformed_message_error("host digest lacks a number where one is expected");
    }
    boost::json::error_code fault;
    const auto number = list[index].to_number<std::uint64_t>(fault);
    if (fault) {
        throw malformed_message_error("number in host digest is not an unsigned 64-bit integer");
    }
    return number;
}

const array& get_list(const array& list, std::size_t index) {
    if (index >= list.size() || !list[index].is_array()) {
        throw malformed_message_error("host digest lacks a list where one is expected");
    }
    return list[index].get_array();
}

const array& require_list(const value& item) {
    if (!item.is_array()) {
        throw malformed_message_error("host digest has another value where a list is expected");
    }
    return item.get_array();
}

array encode_item(const digest_prefix_access& access) {
    array parts;
    for (const policy::prefix_block& part : access.parts) {
        parts.push_back(part.id);
        parts.push_back(part.tokens);
    }
    return {access.engine.value(), std::move(parts)};
}

array encode_item(const policy::engine_crash& crash) {
    return {crash.fingerprint, crash.crash_id, to_microseconds(crash.moment.time_since_epoch())};
}

array encode_item(const policy::part_crash& crash) {
    return {crash.crash_id, array(crash.parts.begin(), crash.parts.end()),
            to_microseconds(crash.moment.time_since_epoch()), crash.requests};
}

array encode_item(const policy::part_clearance& clearance) {
    return {clearance.part, to_microseconds(clearance.moment.time_since_epoch())};
}

array encode_item(const policy::server_limit_report& report) {
    array encoded{report.server.value(), report.incarnation, report.limit, report.naming,
                  to_microseconds(report.named_age)};
    if (report.ended_age) {
        encoded.push_back(to_microseconds(*report.ended_age));
    }
    return encoded;
}

digest_prefix_access decode_prefix_access(const value& item) {
    const array& list = require_list(item);
    if (list.empty() || !list[0].is_string()) {
        throw malformed_message_error("cached prompt in host digest has no engine name");
    }
    digest_prefix_access access{.engine = backend_server_name(std::string_view(list[0].get_string())), .parts = {}};
    const array& parts = get_list(list, 1);
    for (std::size_t index = 0; index + 1 < parts.size(); index += 2) {
        access.parts.push_back(
            {.id = get_number(parts, index), .tokens = static_cast<std::uint32_t>(get_number(parts, index + 1))});
    }
    return access;
}

std::vector<policy::engine_crash> decode_crashes(const array& encoded) {
    std::vector<policy::engine_crash> crashes;
    for (const value& item : encoded) {
        const array& crash = require_list(item);
        crashes.push_back({.fingerprint = get_number(crash, 0),
                           .crash_id = get_number(crash, 1),
                           .moment = wall_time(std::chrono::microseconds(get_number(crash, 2)))});
    }
    return crashes;
}

std::vector<policy::part_crash> decode_part_crashes(const array& encoded) {
    std::vector<policy::part_crash> crashes;
    for (const value& item : encoded) {
        const array& crash = require_list(item);
        const array& parts = get_list(crash, 1);
        std::vector<policy::prompt_part_id> ids;
        for (std::size_t index = 0; index < parts.size(); ++index) {
            ids.push_back(get_number(parts, index));
        }
        crashes.push_back({.crash_id = get_number(crash, 0),
                           .parts = std::move(ids),
                           .moment = wall_time(std::chrono::microseconds(get_number(crash, 2))),
                           .requests = get_number(crash, 3)});
    }
    return crashes;
}

std::vector<policy::part_clearance> decode_part_clearances(const array& encoded) {
    std::vector<policy::part_clearance> clearances;
    for (const value& item : encoded) {
        const array& clearance = require_list(item);
        clearances.push_back({.part = get_number(clearance, 0),
                              .moment = wall_time(std::chrono::microseconds(get_number(clearance, 1)))});
    }
    return clearances;
}

std::vector<policy::server_limit_report> decode_limit_reports(const array& encoded) {
    constexpr std::size_t limit_index = 2;
    constexpr std::size_t ended_index = 5;
    std::vector<policy::server_limit_report> reports;
    for (const value& item : encoded) {
        const array& fields = require_list(item);
        if (fields.size() < ended_index || !fields[0].is_string()) {
            throw malformed_message_error("limit of a server in host digest is incomplete");
        }
        policy::server_limit_report report;
        report.server = backend_server_name(std::string_view(fields[0].get_string()));
        report.incarnation = get_number(fields, 1);
        report.limit = json::to_number(fields[limit_index], "limit of a server in host digest");
        if (!policy::is_valid_server_limit(report.limit)) {
            throw malformed_message_error("limit of a server in host digest is out of range");
        }
        report.naming = get_number(fields, limit_index + 1);
        report.named_age = get_age(fields, ended_index - 1);
        if (fields.size() > ended_index) {
            report.ended_age = get_age(fields, ended_index);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

std::size_t get_encoded_size(const digest_prefix_access& access) {
    return measure_item(access);
}

std::size_t get_encoded_size(const policy::engine_crash& crash) {
    return measure_item(crash);
}

std::size_t get_encoded_size(const policy::part_crash& crash) {
    return measure_item(crash);
}

std::size_t get_encoded_size(const policy::part_clearance& clearance) {
    return measure_item(clearance);
}

std::size_t get_encoded_size(const policy::server_limit_report& report) {
    return measure_item(report);
}

} // namespace dragonflywell::servers
