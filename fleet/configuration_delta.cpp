#include "fleet/configuration_delta.hpp"

#include <functional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace dragonflywell::fleet {

namespace {

/// A route key that refers to the texts of a route.
struct route_key_view {
    std::string_view host;
    std::string_view path_prefix;

    friend bool operator==(const route_key_view&, const route_key_view&) = default;
};

struct route_key_hash {
    std::size_t operator()(const route_key_view& key) const noexcept {
        constexpr std::size_t multiplier = 31;
        return std::hash<std::string_view>{}(key.host) * multiplier + std::hash<std::string_view>{}(key.path_prefix);
    }
};

route_key_view get_key(const route& item) {
    return {.host = item.host, .path_prefix = item.path_prefix};
}

route_key_view get_key(const route_key& key) {
    return {.host = key.host, .path_prefix = key.path_prefix};
}

std::string_view get_key(const served_organisation& item) {
    return item.name.value();
}

using route_index = std::unordered_map<route_key_view, const route*, route_key_hash>;
using organisation_index = std::unordered_map<std::string_view, const served_organisation*>;

/// Indexes the items of a list by their keys. Returns nothing if two items have the same key.
template <typename Index, typename Item>
std::optional<Index> make_index(const std::vector<Item>& items) {
    Index index;
    index.reserve(items.size());
    for (const Item& item : items) {
        if (!index.emplace(get_key(item), &item).second) {
            return std::nullopt;
        }
    }
    return index;
}

bool has_shared_api_keys(const std::vector<served_organisation>& organisations) {
    std::unordered_set<std::string_view> known;
    for (const served_organisation& organisation : organisations) {
        for (const std::string& key : organisation.keys) {
            if (!known.insert(key).second) {
                return true;
            }
        }
    }
    return false;
}

/// Returns the items of `next` that `base` does not have in the same form.
template <typename Item, typename Index>
std::vector<Item> get_changed(const std::vector<Item>& next, const Index& base) {
    std::vector<Item> changed;
    for (const Item& item : next) {
        const auto before = base.find(get_key(item));
        if (before == base.end() || *before->second != item) {
            changed.push_back(item);
        }
    }
    return changed;
}

/// Returns `base` without the removed items, with the changed ones in the place of those that they replace, and with
/// the new ones at the end. `changed` indexes `changed_items`.
template <typename Item, typename Keys, typename Index>
std::vector<Item> merge(const std::vector<Item>& base, const Keys& removed, const Index& changed,
                        const std::vector<Item>& changed_items) {
    std::vector<Item> merged;
    merged.reserve(base.size() + changed_items.size());
    Keys placed;
    for (const Item& item : base) {
        const auto key = get_key(item);
        if (removed.contains(key)) {
            continue;
        }
        const auto replacement = changed.find(key);
        merged.push_back(replacement == changed.end() ? item : *replacement->second);
        if (replacement != changed.end()) {
            placed.insert(key);
        }
    }
    for (const Item& item : changed_items) {
        if (!placed.contains(get_key(item))) {
            merged.push_back(item);
        }
    }
    return merged;
}

} // namespace

std::optional<configuration_delta> make_delta(const serving_configuration& base, const serving_configuration& next) {
    if (base.services != next.services || base.requires_keys != next.requires_keys ||
        has_shared_api_keys(base.organisations) || has_shared_api_keys(next.organisations)) {
        return std::nullopt;
    }
    const auto base_routes = make_index<route_index>(base.routes);
    const auto next_routes = make_index<route_index>(next.routes);
    const auto base_organisations = make_index<organisation_index>(base.organisations);
    const auto next_organisations = make_index<organisation_index>(next.organisations);
    if (!base_routes || !next_routes || !base_organisations || !next_organisations) {
        return std::nullopt;
    }
    configuration_delta delta{.base_version = base.version,
                              .version = next.version,
                              .removed_routes = {},
                              .changed_routes = get_changed(next.routes, *base_routes),
                              .removed_organisations = {},
                              .changed_organisations = get_changed(next.organisations, *base_organisations),
                              .limits = {}};
    for (const route& item : base.routes) {
        if (!next_routes->contains(get_key(item))) {
            delta.removed_routes.push_back({.host = item.host, .path_prefix = item.path_prefix});
        }
    }
    for (const served_organisation& item : base.organisations) {
        if (!next_organisations->contains(get_key(item))) {
            delta.removed_organisations.push_back(item.name);
        }
    }
    if (base.limits != next.limits) {
        delta.limits = next.limits;
    }
    return delta;
}

serving_configuration apply_delta(const serving_configuration& base, const configuration_delta& delta) {
    std::unordered_set<route_key_view, route_key_hash> removed_routes;
    for (const route_key& key : delta.removed_routes) {
        removed_routes.insert(get_key(key));
    }
    std::unordered_set<std::string_view> removed_organisations;
    for (const organisation_name& name : delta.removed_organisations) {
        removed_organisations.insert(name.value());
    }
    route_index changed_routes;
    for (const route& item : delta.changed_routes) {
        changed_routes.emplace(get_key(item), &item);
    }
    organisation_index changed_organisations;
    for (const served_organisation& item : delta.changed_organisations) {
        changed_organisations.emplace(get_key(item), &item);
    }
    std::vector<served_organisation> organisations =
        merge(base.organisations, removed_organisations, changed_organisations, delta.changed_organisations);
    // A host of an earlier version also sends a delta when organisations are added to a configuration without any.
    const bool requires_keys = base.requires_keys || !organisations.empty();
    return {.version = delta.version,
            .routes = merge(base.routes, removed_routes, changed_routes, delta.changed_routes),
            .services = base.services,
            .requires_keys = requires_keys,
            .organisations = std::move(organisations),
            .limits = delta.limits.value_or(base.limits)};
}

} // namespace dragonflywell::fleet
