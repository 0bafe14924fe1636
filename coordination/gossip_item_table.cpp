#include "coordination/gossip_item_table.hpp"

#include <string>

#include "core/hash.hpp"

namespace dragonflywell::coordination {

namespace {

std::uint64_t get_item_hash(const gossip_item& item) {
    const std::string text = std::to_string(static_cast<unsigned>(item.key.kind)) + "/" + item.key.subject + "/" +
                             std::to_string(item.version);
    return get_stable_hash(text);
}

} // namespace

bool gossip_item_table::merge(const gossip_item& item, steady_time now, unsigned times) {
    const auto found = m_items.find(item.key);
    if (found != m_items.end() && found->second.item.version >= item.version) {
        return false;
    }
    const bool is_refused = item.value.size() > m_options.most_value_bytes ||
                            (found == m_items.end() && m_items.size() >= m_options.most_items);
    if (is_refused) {
        ++m_dropped;
        return false;
    }
    // The exclusive or lets one item be taken out and put in without reading the others.
    std::uint64_t& hash = m_hashes[item.key.owner];
    if (found != m_items.end()) {
        hash ^= get_item_hash(found->second.item);
    }
    hash ^= get_item_hash(item);
    m_items[item.key] = {.item = item, .renewed = now};
    add_rumour(m_zone_rumours, item.key, times);
    if (item.scope == item_scope::fleet) {
        add_rumour(m_fleet_rumours, item.key, times);
    }
    return true;
}

void gossip_item_table::prune(steady_time now, const std::set<host_name>& kept_owners) {
    std::set<host_name> expired;
    for (const auto& [key, held] : m_items) {
        if (now - held.renewed >= m_options.lifetime && !kept_owners.contains(key.owner)) {
            expired.insert(key.owner);
        }
    }
    for (const host_name& owner : expired) {
        remove_owner(owner);
    }
}

void gossip_item_table::remove_owner(const host_name& owner) {
    auto next = m_items.lower_bound({.owner = owner, .kind = {}, .subject = {}});
    while (next != m_items.end() && next->first.owner == owner) {
        next = m_items.erase(next);
    }
    m_hashes.erase(owner);
}

const gossip_item* gossip_item_table::find(const item_key& key) const {
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second.item;
}

std::vector<gossip_item> gossip_item_table::get_by_kind(item_kind kind) const {
    std::vector<gossip_item> items;
    for (const auto& [key, held] : m_items) {
        if (key.kind == kind) {
            items.push_back(held.item);
        }
    }
    return items;
}

std::vector<gossip_item> gossip_item_table::get_by_owner(const host_name& owner) const {
    std::vector<gossip_item> items;
    const item_key first{.owner = owner, .kind = {}, .subject = {}};
    for (auto next = m_items.lower_bound(first); next != m_items.end() && next->first.owner == owner; ++next) {
        items.push_back(next->second.item);
    }
    return items;
}

std::uint64_t gossip_item_table::get_hash(const host_name& owner) const {
    const auto found = m_hashes.find(owner);
    return found == m_hashes.end() ? 0 : found->second;
}

void gossip_item_table::add_news(gossip_message& message, std::size_t& size_bytes, std::size_t limit_bytes,
                                 bool is_within_zone) {
    rumours& news = is_within_zone ? m_zone_rumours : m_fleet_rumours;
    add_rumours(news.urgent, message, size_bytes, limit_bytes);
    add_rumours(news.ordinary, message, size_bytes, limit_bytes);
}

void gossip_item_table::add_rumours(gossip_rumours<item_key>& from, gossip_message& message, std::size_t& size_bytes,
                                    std::size_t limit_bytes) const {
    from.take_each([&](const item_key& key) {
        const gossip_item* item = find(key);
        if (item == nullptr) {
            return true;
        }
        const std::size_t item_bytes = get_size_bytes(*item);
        if (size_bytes + item_bytes > limit_bytes) {
            return false;
        }
        size_bytes += item_bytes;
        message.items.push_back(*item);
        return true;
    });
}

void gossip_item_table::add_rumour(rumours& to, const item_key& key, unsigned times) {
    const bool is_ordinary = key.kind == item_kind::load || key.kind == item_kind::budget_share;
    (is_ordinary ? to.ordinary : to.urgent).add(key, times);
}

} // namespace dragonflywell::coordination
