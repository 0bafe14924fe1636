#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/gossip_rumours.hpp"
#include "coordination/membership_message.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

struct gossip_item_table_options {
    std::size_t most_items{4096};
    std::size_t most_value_bytes{512};
    /// An item whose owner is of another zone is forgotten when it was not renewed for so long.
    duration lifetime{std::chrono::seconds(60)};
};

/// The newest value of each gossiped item and what has still to be passed on. Not thread safe.
class gossip_item_table {
public:
    explicit gossip_item_table(gossip_item_table_options options) : m_options(options) {}

    /// Takes an item that is newer than the one held and spreads it `times` times. Returns whether it was taken.
    /// An item that is too large, or too many, is dropped and counted.
    bool merge(const gossip_item& item, steady_time now, unsigned times);

    /// Forgets what was not renewed in time, except for the items of `kept_owners`.
    void prune(steady_time now, const std::set<host_name>& kept_owners);

    /// Forgets all items of a daemon that is gone.
    void remove_owner(const host_name& owner);

    [[nodiscard]] const gossip_item* find(const item_key& key) const;
    [[nodiscard]] std::vector<gossip_item> get_by_kind(item_kind kind) const;
    [[nodiscard]] std::vector<gossip_item> get_by_owner(const host_name& owner) const;

    /// Hash over keys and versions of the owner's items.
    [[nodiscard]] std::uint64_t get_hash(const host_name& owner) const;

    /// Moves news into the message while it stays below `limit_bytes`; `size_bytes` is its size so far.
    void add_news(gossip_message& message, std::size_t& size_bytes, std::size_t limit_bytes, bool is_within_zone);

    [[nodiscard]] std::size_t size() const noexcept { return m_items.size(); }
    [[nodiscard]] std::uint64_t get_dropped() const noexcept { return m_dropped; }

private:
    struct entry {
        gossip_item item;
        steady_time renewed;
    };

    gossip_item_table_options m_options;
    std::map<item_key, entry> m_items;
    std::map<host_name, std::uint64_t> m_hashes;
    /// News that others wait for goes before figures that are replaced soon anyway.
    struct rumours {
        gossip_rumours<item_key> urgent;
        gossip_rumours<item_key> ordinary;
    };

    void add_rumours(gossip_rumours<item_key>& from, gossip_message& message, std::size_t& size_bytes,
                     std::size_t limit_bytes) const;
    static void add_rumour(rumours& to, const item_key& key, unsigned times);

    rumours m_zone_rumours;
    rumours m_fleet_rumours;
    std::uint64_t m_dropped{0};
};

} // namespace dragonflywell::coordination
