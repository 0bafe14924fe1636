#include "gossip/relayed_records.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

#include "core/error.hpp"
#include "core/json.hpp"

namespace dragonflywell::gossip {

namespace {

constexpr std::string_view records_field = "news";
/// Largest time that nanoseconds can hold.
constexpr std::uint64_t max_microseconds = std::numeric_limits<std::int64_t>::max() / 1000;

std::int64_t to_microseconds(duration span) {
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

duration decode_microseconds(const boost::json::object& message, std::string_view field) {
    const std::uint64_t count = json::get_unsigned(message, field);
    if (count > max_microseconds) {
        throw malformed_message_error("a time in relayed records is out of range");
    }
    return std::chrono::microseconds(count);
}

boost::json::array encode_record(const platform::keyed_record& record) {
    return {record.offset, record.key, record.value ? boost::json::value(*record.value) : boost::json::value()};
}

platform::keyed_record decode_record(const boost::json::value& item) {
    constexpr std::size_t fields = 3;
    const boost::json::array* record = item.if_array();
    if (record == nullptr || record->size() != fields || !(*record)[0].is_number() || !(*record)[1].is_string()) {
        throw malformed_message_error("a relayed record must be an array of offset, key and value");
    }
    boost::json::error_code fault;
    const auto offset = (*record)[0].to_number<std::uint64_t>(fault);
    if (fault) {
        throw malformed_message_error("the offset of a relayed record is out of range");
    }
    platform::keyed_record decoded{.offset = offset, .key = std::string((*record)[1].get_string()), .value = {}};
    if ((*record)[2].is_string()) {
        decoded.value = std::string((*record)[2].get_string());
    }
    return decoded;
}

} // namespace

std::vector<relayed_records> split_relayed_records(const relayed_records& relayed, std::size_t max_bytes) {
    std::vector<relayed_records> parts;
    std::size_t bytes = 0;
    for (const platform::keyed_record& record : relayed.page.records) {
        const std::size_t size = boost::json::serialize(encode_record(record)).size();
        if (parts.empty() || bytes + size > max_bytes) {
            const log_position begin =
                parts.empty() ? relayed.from : log_position{.era = relayed.from.era, .offset = record.offset};
            if (!parts.empty()) {
                parts.back().page.next = begin;
            }
            parts.push_back(
                {.from = begin, .page = {}, .sender = relayed.sender, .sent_at = relayed.sent_at, .age = relayed.age});
            bytes = 0;
        }
        parts.back().page.records.push_back(record);
        bytes += size;
    }
    if (parts.empty()) {
        return {relayed};
    }
    parts.back().page.next = relayed.page.next;
    for (relayed_records& part : parts) {
        part.page.end = relayed.page.next;
    }
    return parts;
}

std::string encode_relayed_records(const relayed_records& relayed) {
    boost::json::array records;
    for (const platform::keyed_record& record : relayed.page.records) {
        records.push_back(encode_record(record));
    }
    boost::json::object encoded{{"era", relayed.from.era},
                                {"from", relayed.from.offset},
                                {"end", relayed.page.next.offset},
                                {records_field, std::move(records)}};
    if (relayed.page.end > relayed.page.next) {
        encoded["page_end"] = relayed.page.end.offset;
    }
    if (!relayed.sender.empty()) {
        encoded["host"] = relayed.sender;
        encoded["sent_us"] = to_microseconds(relayed.sent_at.time_since_epoch());
        encoded["age_us"] = to_microseconds(relayed.age);
    }
    return boost::json::serialize(encoded);
}

bool is_relayed_records(const boost::json::object& message) {
    return message.contains(records_field);
}

relayed_records decode_relayed_records(const boost::json::object& message) {
    // Hosts of an earlier version, which may run at the same time during an update, do not send the era.
    const std::uint64_t era = json::get_unsigned_or(message, "era", 0);
    if (era > max_log_era) {
        throw malformed_message_error("the era of relayed records is out of range");
    }
    relayed_records relayed;
    relayed.from = {.era = era, .offset = json::get_unsigned(message, "from")};
    relayed.page.next = {.era = era, .offset = json::get_unsigned(message, "end")};
    relayed.page.end = {.era = era, .offset = json::get_unsigned_or(message, "page_end", relayed.page.next.offset)};
    for (const boost::json::value& item : json::get_array(message, records_field)) {
        relayed.page.records.push_back(decode_record(item));
    }
    if (message.contains("host")) {
        relayed.sender = json::get_string(message, "host");
        relayed.sent_at = wall_time(decode_microseconds(message, "sent_us"));
        relayed.age = decode_microseconds(message, "age_us");
    }
    return relayed;
}

} // namespace dragonflywell::gossip
