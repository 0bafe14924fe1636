#include "daemon/relayed_records.hpp"

#include <boost/json.hpp>

#include "core/error.hpp"
#include "core/json.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr std::string_view records_field = "news";

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

std::string encode_relayed_records(const relayed_records& relayed) {
    boost::json::array records;
    for (const platform::keyed_record& record : relayed.page.records) {
        const boost::json::value value = record.value ? boost::json::value(*record.value) : boost::json::value();
        records.push_back(boost::json::array{record.offset, record.key, value});
    }
    return boost::json::serialize(boost::json::object{{"era", relayed.from.era},
                                                      {"from", relayed.from.offset},
                                                      {"end", relayed.page.next.offset},
                                                      {records_field, records}});
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
    relayed.page.end = relayed.page.next;
    for (const boost::json::value& item : json::get_array(message, records_field)) {
        relayed.page.records.push_back(decode_record(item));
    }
    return relayed;
}

} // namespace dragonflywell::daemon
