#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "platform/store_client.hpp"

namespace dragonflywell::daemon {

/// Records that a group leader has read from the store and relays to the other hosts of its group.
struct relayed_records {
    /// Position at which the read began. A host whose read position is before it has missed records.
    log_position from{};
    platform::store_page page;
};

/// Encodes relayed records for one datagram. Thread safe.
[[nodiscard]] std::string encode_relayed_records(const relayed_records& relayed);
/// Returns whether a datagram contains relayed records. Thread safe.
[[nodiscard]] bool is_relayed_records(const boost::json::object& message);
/// Decodes a datagram of relayed records. Throws `malformed_message_error`. Thread safe.
[[nodiscard]] relayed_records decode_relayed_records(const boost::json::object& message);

} // namespace dragonflywell::daemon
