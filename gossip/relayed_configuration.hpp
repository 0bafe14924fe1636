#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/log_position.hpp"
#include "fleet/configuration_delta.hpp"

namespace dragonflywell::gossip {

/// A change of the configuration that a group leader has read from the store.
struct relayed_change {
    fleet::configuration_delta delta;
    /// Position in the store after the record of the configuration that results.
    log_position next{};

    friend bool operator==(const relayed_change&, const relayed_change&) = default;
};

/// The newest changes of the configuration, oldest first; each one continues the one before it. A host that missed a
/// datagram finds the missing change in the next one.
using relayed_configuration = std::vector<relayed_change>;

/// Encodes changes for one datagram. Thread safe.
[[nodiscard]] std::string encode_relayed_configuration(const relayed_configuration& changes);
/// Returns whether a datagram contains changes of the configuration. Thread safe.
[[nodiscard]] bool is_relayed_configuration(const boost::json::object& message);
/// Decodes a datagram of changes. Throws `malformed_message_error`. Thread safe.
[[nodiscard]] relayed_configuration decode_relayed_configuration(const boost::json::object& message);

} // namespace dragonflywell::gossip
