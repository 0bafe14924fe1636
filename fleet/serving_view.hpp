#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "fleet/quota.hpp"
#include "fleet/route.hpp"
#include "fleet/service_description.hpp"

namespace dragonflywell::fleet {

/// The settings of an organisation that apply to its requests.
struct served_organisation {
    organisation_name name;
    /// Takes precedence over the priority of a route; 0 is the most urgent. Absent if the organisation has none.
    std::optional<std::uint32_t> priority;
    std::vector<std::string> keys;
    /// Absent if the organisation has none.
    std::optional<fleet::quota> quota{};

    friend bool operator==(const served_organisation&, const served_organisation&) = default;
};

/// Limits on what callers may send and on how long they may take or stay idle.
struct caller_limits {
    std::uint32_t header_bytes{16 * 1024};
    std::uint64_t body_bytes{4ULL * 1024 * 1024};
    duration header_timeout{std::chrono::seconds(3)};
    duration idle_timeout{std::chrono::seconds(15)};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// The complete content of a configuration, before it is indexed.
struct serving_configuration {
    std::uint64_t version{0};
    std::vector<route> routes;
    std::vector<service_description> services;
    /// Whether requests need a key if their route is not public. If they do and there is no organisation, no key is
    /// valid.
    bool requires_keys{true};
    std::vector<served_organisation> organisations;
    caller_limits limits;

    friend bool operator==(const serving_configuration&, const serving_configuration&) = default;
};

/// One configuration, indexed for lookups by requests. Immutable after construction and therefore safe to share between
/// threads.
class serving_view {
public:
    explicit serving_view(serving_configuration configuration);
    serving_view(const serving_view&) = delete;
    serving_view& operator=(const serving_view&) = delete;
    serving_view(serving_view&&) = delete;
    serving_view& operator=(serving_view&&) = delete;
    ~serving_view() = default;

    /// Returns the route of that host with the longest prefix that matches the beginning of the path, or null. `path`
    /// must not contain the query.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    /// Returns the organisation to which the key belongs, or null.
    [[nodiscard]] const served_organisation* find_organisation(std::string_view key) const;
    /// Returns the service, or null.
    [[nodiscard]] const service_description* find_service(const service_name& name) const;
    /// Returns the services that it describes or to which it routes.
    [[nodiscard]] std::set<service_name> get_named_services() const;
    /// Returns whether requests need a key if their route is not public.
    [[nodiscard]] bool requires_keys() const noexcept { return m_configuration.requires_keys; }

    [[nodiscard]] std::uint64_t get_version() const noexcept { return m_configuration.version; }
    [[nodiscard]] const serving_configuration& get_configuration() const noexcept { return m_configuration; }
    [[nodiscard]] const caller_limits& get_limits() const noexcept { return m_configuration.limits; }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>{}(text); }
    };
    template <typename Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    serving_configuration m_configuration;
    /// Indices into the configuration. The routes of each host are sorted by descending prefix length.
    text_map<std::vector<std::size_t>> m_routes_by_host;
    text_map<std::size_t> m_organisations_by_key;
    std::map<service_name, std::size_t> m_services;
};

} // namespace dragonflywell::fleet
