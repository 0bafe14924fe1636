#include "servers/peer_codec.hpp"

#include "core/error.hpp"
#include "proto/peer.pb.h"

namespace dragonflywell::servers {

namespace {

using namespace coordination;

constexpr std::uint32_t most_port = 65535;

/// Returns the enumerator with this number. Throws `malformed_message_error` when there is none.
template <typename Enumeration>
Enumeration decode_enumerator(std::uint32_t number, Enumeration last) {
    if (number > static_cast<std::uint32_t>(last)) {
        throw malformed_message_error("peer message has an unknown enumerator");
    }
    return static_cast<Enumeration>(number);
}

void encode_endpoint(const endpoint& from, proto::Endpoint& to) {
    to.set_address(from.address);
    to.set_port(from.port);
}

endpoint decode_endpoint(const proto::Endpoint& from) {
    if (from.port() > most_port) {
        throw malformed_message_error("peer message has a port out of range");
    }
    return {.address = from.address(), .port = static_cast<std::uint16_t>(from.port())};
}

void encode_member(const member& from, proto::Member& to) {
    to.set_host(from.host.value());
    to.set_zone(from.zone.value());
    encode_endpoint(from.address, *to.mutable_address());
    to.set_incarnation(from.incarnation);
    to.set_state(static_cast<std::uint32_t>(from.state));
}

member decode_member(const proto::Member& from) {
    return {.host = host_name(from.host()),
            .zone = zone_name(from.zone()),
            .address = decode_endpoint(from.address()),
            .incarnation = from.incarnation(),
            .state = decode_enumerator(from.state(), member_state::left)};
}

void encode_item(const gossip_item& from, proto::GossipItem& to) {
    to.set_owner(from.key.owner.value());
    to.set_kind(static_cast<std::uint32_t>(from.key.kind));
    to.set_subject(from.key.subject);
    to.set_scope(static_cast<std::uint32_t>(from.scope));
    to.set_version(from.version);
    to.set_value(from.value);
}

gossip_item decode_item(const proto::GossipItem& from) {
    return {.key = {.owner = host_name(from.owner()),
                    .kind = decode_enumerator(from.kind(), item_kind::usage_copy),
                    .subject = from.subject()},
            .scope = decode_enumerator(from.scope(), item_scope::fleet),
            .version = from.version(),
            .value = from.value()};
}

void encode_digest(const member_digest& from, proto::MemberDigest& to) {
    to.set_host(from.host.value());
    to.set_incarnation(from.incarnation);
    to.set_state(static_cast<std::uint32_t>(from.state));
    to.set_items_hash(from.items_hash);
}

member_digest decode_digest(const proto::MemberDigest& from) {
    return {.host = host_name(from.host()),
            .incarnation = from.incarnation(),
            .state = decode_enumerator(from.state(), member_state::left),
            .items_hash = from.items_hash()};
}

} // namespace

void encode(const gossip_message& from, proto::GossipMessage& to) {
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    encode_member(from.sender, *to.mutable_sender());
    if (from.subject) {
        encode_member(*from.subject, *to.mutable_subject());
    }
    if (from.origin) {
        encode_endpoint(*from.origin, *to.mutable_origin());
    }
    for (const member& item : from.members) {
        encode_member(item, *to.add_members());
    }
    for (const gossip_item& item : from.items) {
        encode_item(item, *to.add_items());
    }
    for (const member_digest& item : from.digest) {
        encode_digest(item, *to.add_digest());
    }
}

gossip_message decode(const proto::GossipMessage& from) {
    gossip_message to{.kind = decode_enumerator(from.kind(), gossip_kind::delta),
                      .sender = decode_member(from.sender()),
                      .subject = {},
                      .origin = {},
                      .members = {},
                      .items = {},
                      .digest = {}};
    if (from.has_subject()) {
        to.subject = decode_member(from.subject());
    }
    if (from.has_origin()) {
        to.origin = decode_endpoint(from.origin());
    }
    for (const proto::Member& item : from.members()) {
        to.members.push_back(decode_member(item));
    }
    for (const proto::GossipItem& item : from.items()) {
        to.items.push_back(decode_item(item));
    }
    for (const proto::MemberDigest& item : from.digest()) {
        to.digest.push_back(decode_digest(item));
    }
    return to;
}

void encode(const log_batch& from, proto::ReadRecordsAnswer& to) {
    to.set_is_held(true);
    to.set_end(from.end);
    for (const log_entry& entry : from.entries) {
        proto::LogEntry& added = *to.add_entries();
        added.set_offset(entry.offset);
        added.set_data(entry.data);
    }
}

log_batch decode(const proto::ReadRecordsAnswer& from) {
    log_batch to{.entries = {}, .oldest = 0, .end = from.end()};
    for (const proto::LogEntry& entry : from.entries()) {
        to.entries.push_back({.offset = entry.offset(), .data = entry.data()});
    }
    return to;
}

void encode(const configuration_page& from, proto::ReadConfigurationAnswer& to) {
    if (from.version) {
        to.set_version(*from.version);
    }
    for (const auto& [path, text] : from.entries) {
        proto::ConfigurationEntry& added = *to.add_entries();
        added.set_path(path);
        added.set_text(text);
    }
    to.set_is_last(from.is_last);
}

configuration_page decode(const proto::ReadConfigurationAnswer& from) {
    configuration_page to{.version = {}, .entries = {}, .is_last = from.is_last()};
    if (from.has_version()) {
        to.version = from.version();
    }
    for (const proto::ConfigurationEntry& entry : from.entries()) {
        to.entries[entry.path()] = entry.text();
    }
    return to;
}

} // namespace dragonflywell::servers
