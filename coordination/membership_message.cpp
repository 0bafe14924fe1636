#include "coordination/membership_message.hpp"

namespace dragonflywell::coordination {

namespace {

// Tags, lengths and whole numbers of a message, as an upper bound.
constexpr std::size_t member_overhead_bytes = 30;
constexpr std::size_t item_overhead_bytes = 30;
constexpr std::size_t digest_overhead_bytes = 28;
constexpr std::size_t message_overhead_bytes = 16;

} // namespace

std::size_t get_size_bytes(const member& value) noexcept {
    return member_overhead_bytes + value.host.value().size() + value.zone.value().size() + value.address.address.size();
}

std::size_t get_size_bytes(const gossip_item& value) noexcept {
    return item_overhead_bytes + value.key.owner.value().size() + value.key.subject.size() + value.value.size();
}

std::size_t get_size_bytes(const member_digest& value) noexcept {
    return digest_overhead_bytes + value.host.value().size();
}

std::size_t get_size_bytes(const gossip_message& value) noexcept {
    std::size_t size = message_overhead_bytes + get_size_bytes(value.sender);
    if (value.subject) {
        size += get_size_bytes(*value.subject);
    }
    if (value.origin) {
        size += member_overhead_bytes + value.origin->address.size();
    }
    for (const member& item : value.members) {
        size += get_size_bytes(item);
    }
    for (const gossip_item& item : value.items) {
        size += get_size_bytes(item);
    }
    for (const member_digest& item : value.digest) {
        size += get_size_bytes(item);
    }
    return size;
}

} // namespace dragonflywell::coordination
