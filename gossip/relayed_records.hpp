#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "platform/store_client.hpp"

namespace dragonflywell::gossip {

/// Records that a group leader has read from the store and relays to the other hosts of its group.
struct relayed_records {
    /// Position at which the read began. A host whose read position is before it has missed records.
    log_position from{};
    /// The records, and the position after them. `page.end` is the end of the whole page if this is a part of it, so
    /// that a host counts as up to date only with the last part.
    platform::store_page page;
    /// The host that has read the records, the time of sending by its corrected clock, and the time since the read
    /// began. Hosts of an earlier version, which may run at the same time during an update, do not send them.
    std::string sender;
    wall_time sent_at;
    duration age{};
};

/// Divides records into parts whose encoded size is about `max_bytes` at most, each one continuing the one before it.
/// A single longer record is a part of its own. Thread safe.
[[nodiscard]] std::vector<relayed_records> split_relayed_records(const relayed_records& relayed, std::size_t max_bytes);

/// Encodes relayed records for one datagram. Thread safe.
[[nodiscard]] std::string encode_relayed_records(const relayed_records& relayed);
/// Returns whether a datagram contains relayed records. Thread safe.
[[nodiscard]] bool is_relayed_records(const boost::json::object& message);
/// Decodes a datagram of relayed records. Throws `malformed_message_error`. Thread safe.
[[nodiscard]] relayed_records decode_relayed_records(const boost::json::object& message);

} // namespace dragonflywell::gossip
