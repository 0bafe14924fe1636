#include "coordination/record.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace dragonflywell::coordination {

bool has_no_fractions(const boost::json::value& value) {
    if (value.is_array()) {
        return std::ranges::all_of(value.get_array(), has_no_fractions);
    }
    if (value.is_object()) {
        return std::ranges::all_of(value.get_object(),
                                   [](const auto& entry) { return has_no_fractions(entry.value()); });
    }
    return !value.is_double();
}

std::string encode_record(const record& value) {
    boost::json::object object;
    object["host"] = value.writer.host;
    object["incarnation"] = value.writer.incarnation;
    object["sequence"] = value.sequence;
    if (value.condition) {
        object["subject"] = value.condition->subject;
        if (value.condition->supersedes) {
            object["supersedes"] = *value.condition->supersedes;
        }
    }
    if (value.fence) {
        object["scope"] = value.fence->scope;
        object["fence"] = value.fence->number;
    }
    object["type"] = value.type;
    object["body"] = value.body;
    return boost::json::serialize(object);
}

record decode_record(std::string_view data) {
    const boost::json::value document = json::parse(data);
    const boost::json::object& object = json::as_object(document, "record");
    record value;
    value.writer = {.host = json::get_string(object, "host"), .incarnation = json::get_unsigned(object, "incarnation")};
    value.sequence = json::get_unsigned(object, "sequence");
    if (object.contains("subject")) {
        value.condition = record_condition{.subject = json::get_string(object, "subject"), .supersedes = {}};
        if (object.contains("supersedes")) {
            value.condition->supersedes = json::get_unsigned(object, "supersedes");
        }
    }
    if (object.contains("scope")) {
        value.fence =
            fencing_token{.scope = json::get_string(object, "scope"), .number = json::get_unsigned(object, "fence")};
    }
    value.type = json::get_string(object, "type");
    value.body = json::get_object(object, "body");
    return value;
}

} // namespace dragonflywell::coordination
