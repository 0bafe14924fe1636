#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <vector>

#include "servers/host_digest.hpp"

namespace dragonflywell::servers {

/// Parts of the encoding of `host_digest`: the items of its lists, and accessors for arrays of another host. All
/// decoders throw `malformed_message_error`. Thread safe.

/// Returns a duration for a digest. Ages, costs and remaining times are never negative there, since a receiver would
/// reject the whole digest because of a negative number.
[[nodiscard]] std::int64_t to_microseconds(duration span);

[[nodiscard]] std::uint64_t get_number(const boost::json::array& list, std::size_t index);
[[nodiscard]] const boost::json::array& get_list(const boost::json::array& list, std::size_t index);
[[nodiscard]] const boost::json::array& require_list(const boost::json::value& item);

[[nodiscard]] boost::json::array encode_item(const digest_prefix_access& access);
[[nodiscard]] boost::json::array encode_item(const policy::engine_crash& crash);
[[nodiscard]] boost::json::array encode_item(const policy::part_crash& crash);
[[nodiscard]] boost::json::array encode_item(const policy::part_clearance& clearance);
[[nodiscard]] boost::json::array encode_item(const policy::server_limit_report& report);

template <typename Item>
[[nodiscard]] boost::json::array encode_items(const std::vector<Item>& items) {
    boost::json::array encoded;
    for (const Item& item : items) {
        encoded.push_back(encode_item(item));
    }
    return encoded;
}

[[nodiscard]] digest_prefix_access decode_prefix_access(const boost::json::value& item);
[[nodiscard]] std::vector<policy::engine_crash> decode_crashes(const boost::json::array& encoded);
[[nodiscard]] std::vector<policy::part_crash> decode_part_crashes(const boost::json::array& encoded);
[[nodiscard]] std::vector<policy::part_clearance> decode_part_clearances(const boost::json::array& encoded);
[[nodiscard]] std::vector<policy::server_limit_report> decode_limit_reports(const boost::json::array& encoded);

} // namespace dragonflywell::servers
