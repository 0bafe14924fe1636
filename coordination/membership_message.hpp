#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::coordination {

/// What a daemon believes about another. At equal incarnation the later enumerator overrides the earlier.
enum class member_state : std::uint8_t { alive, suspect, dead, left };

[[nodiscard]] constexpr bool is_removed(member_state state) noexcept {
    return state == member_state::dead || state == member_state::left;
}

/// One daemon as others know it.
struct member {
    host_name host;
    zone_name zone;
    endpoint address;
    /// Grows with each start of the process and each time it refutes a suspicion.
    std::uint64_t incarnation{};
    member_state state{member_state::alive};

    friend bool operator==(const member&, const member&) = default;
};

/// What a gossiped item is about. Its value is encoded by whoever publishes it.
enum class item_kind : std::uint8_t {
    log_freshness,
    configuration_version,
    load,
    budget_share,
    suspect_request,
    usage_copy,
};

/// How far an item travels.
enum class item_scope : std::uint8_t { zone, fleet };

/// Names an item: an owner has at most one value for each kind and subject.
struct item_key {
    host_name owner;
    item_kind kind{};
    /// Tells apart items of one kind, such as a fingerprint; empty where there is only one.
    std::string subject;

    friend auto operator<=>(const item_key&, const item_key&) = default;
    friend bool operator==(const item_key&, const item_key&) = default;
};

/// A small value that one daemon tells the others.
struct gossip_item {
    item_key key;
    item_scope scope{item_scope::zone};
    /// Grows with each change, also over restarts of the owner.
    std::uint64_t version{};
    std::string value;

    friend bool operator==(const gossip_item&, const gossip_item&) = default;
};

/// What the sender holds of one daemon, short enough to be compared often.
struct member_digest {
    host_name host;
    std::uint64_t incarnation{};
    member_state state{};
    /// Hash over the keys and versions of the items that the daemon owns.
    std::uint64_t items_hash{};

    friend bool operator==(const member_digest&, const member_digest&) = default;
};

enum class gossip_kind : std::uint8_t {
    /// Asks for an acknowledgement.
    ping,
    acknowledgement,
    /// Asks the receiver to ping `subject` for the sender.
    ping_request,
    /// Brings what the receiver lacked according to its digest. Not answered.
    delta,
};

/// One message between two daemons.
struct gossip_message {
    gossip_kind kind{gossip_kind::ping};
    member sender;
    /// The daemon that an indirect ping is about.
    std::optional<member> subject;
    /// Where an indirect acknowledgement has to go.
    std::optional<endpoint> origin;
    std::vector<member> members;
    std::vector<gossip_item> items;
    std::vector<member_digest> digest;

    friend bool operator==(const gossip_message&, const gossip_message&) = default;
};

struct addressed_message {
    endpoint to;
    gossip_message message;
};

/// Upper estimates of encoded sizes in bytes, by which messages are kept below their limit.
[[nodiscard]] std::size_t get_size_bytes(const member& value) noexcept;
[[nodiscard]] std::size_t get_size_bytes(const gossip_item& value) noexcept;
[[nodiscard]] std::size_t get_size_bytes(const member_digest& value) noexcept;
[[nodiscard]] std::size_t get_size_bytes(const gossip_message& value) noexcept;

} // namespace dragonflywell::coordination
