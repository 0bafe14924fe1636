#pragma once

#include "coordination/append_log.hpp"
#include "coordination/membership_message.hpp"
#include "servers/peer_handler.hpp"

namespace dragonflywell::proto {
class GossipMessage;
class ReadConfigurationAnswer;
class ReadRecordsAnswer;
} // namespace dragonflywell::proto

namespace dragonflywell::servers {

/// Translates between the messages of the wire and those of coordination. Thread safe.
/// Decoding throws `malformed_message_error` for a value outside its range.
void encode(const coordination::gossip_message& from, proto::GossipMessage& to);
[[nodiscard]] coordination::gossip_message decode(const proto::GossipMessage& from);

void encode(const coordination::log_batch& from, proto::ReadRecordsAnswer& to);
[[nodiscard]] coordination::log_batch decode(const proto::ReadRecordsAnswer& from);

void encode(const configuration_page& from, proto::ReadConfigurationAnswer& to);
[[nodiscard]] configuration_page decode(const proto::ReadConfigurationAnswer& from);

} // namespace dragonflywell::servers
