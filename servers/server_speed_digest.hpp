#pragma once

#include <boost/json/object.hpp>
#include <map>

#include "core/identifiers.hpp"
#include "policy/server_speed_estimator.hpp"

namespace dragonflywell::servers {

/// What a host has observed of the speeds of servers, as digests carry it: sums as of the moment of sending.
using digest_speeds = std::map<backend_server_name, policy::speed_sums>;

/// Thread safe.
[[nodiscard]] boost::json::object encode_speeds(const digest_speeds& speeds);
/// Throws `malformed_message_error`, also for sums that no observations could have. Thread safe.
[[nodiscard]] digest_speeds decode_speeds(const boost::json::object& encoded);

} // namespace dragonflywell::servers
