#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "policy/quota_exchange_types.hpp"

namespace dragonflywell::gossip {

/// What the quotas of a message apply to.
enum class quota_subjects : std::uint8_t { organisations, servers };

/// Encode a message for one datagram. Thread safe.
[[nodiscard]] std::string encode_quota_request(const policy::quota_request& request,
                                               quota_subjects subjects = quota_subjects::organisations);
[[nodiscard]] std::string encode_quota_grant(const policy::quota_grant& grant,
                                             quota_subjects subjects = quota_subjects::organisations);

/// Return whether a datagram contains such a message. Thread safe.
[[nodiscard]] bool is_quota_request(const boost::json::object& message,
                                    quota_subjects subjects = quota_subjects::organisations);
[[nodiscard]] bool is_quota_grant(const boost::json::object& message,
                                  quota_subjects subjects = quota_subjects::organisations);

/// Decode a datagram. Throw `malformed_message_error`. Thread safe.
[[nodiscard]] policy::quota_request decode_quota_request(const boost::json::object& message,
                                                         quota_subjects subjects = quota_subjects::organisations);
[[nodiscard]] policy::quota_grant decode_quota_grant(const boost::json::object& message,
                                                     quota_subjects subjects = quota_subjects::organisations);

} // namespace dragonflywell::gossip
