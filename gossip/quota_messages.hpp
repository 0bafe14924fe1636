#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "policy/quota_exchange_types.hpp"

namespace dragonflywell::gossip {

/// Encode a message for one datagram. Thread safe.
[[nodiscard]] std::string encode_quota_request(const policy::quota_request& request);
[[nodiscard]] std::string encode_quota_grant(const policy::quota_grant& grant);

/// Return whether a datagram contains such a message. Thread safe.
[[nodiscard]] bool is_quota_request(const boost::json::object& message);
[[nodiscard]] bool is_quota_grant(const boost::json::object& message);

/// Decode a datagram. Throw `malformed_message_error`. Thread safe.
[[nodiscard]] policy::quota_request decode_quota_request(const boost::json::object& message);
[[nodiscard]] policy::quota_grant decode_quota_grant(const boost::json::object& message);

} // namespace dragonflywell::gossip
