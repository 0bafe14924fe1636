#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "platform/store_client.hpp"

namespace dragonflywell::daemon {

/// Records that one host has read from the store, and passes on to the others of its group.
struct relayed_records {
    /// Offset at which the read began; a host that has not come so far has missed something.
    std::uint64_t from{};
    platform::store_page page;
};

/// Encodes news for one datagram. Thread safe.
[[nodiscard]] std::string encode_relayed_records(const relayed_records& news);
/// Returns whether a datagram carries news. Thread safe.
[[nodiscard]] bool is_relayed_records(const boost::json::object& message);
/// Throws `malformed_message_error`. Thread safe.
[[nodiscard]] relayed_records decode_relayed_records(const boost::json::object& message);

} // namespace dragonflywell::daemon
