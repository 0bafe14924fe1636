#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "policy/demand_estimator.hpp"

namespace dragonflywell::policy {

enum class server_kind { regular, cheap };

enum class server_state {
    /// Ordered, and not registered yet.
    ordered,
    serving,
    /// It receives no new work and finishes its running requests.
    draining,
};

/// A backend server that is running or on order for one model.
struct owned_server {
    /// The idempotency key of the order until the server is registered.
    backend_server_name name;
    zone_name zone;
    server_kind kind{server_kind::regular};
    server_state state{server_state::serving};
    duration in_state{};
    /// Whether it has no running requests.
    bool is_idle{false};
};

/// Limits of the manifest for one availability zone.
struct zone_market {
    zone_name zone;
    std::uint32_t max_servers{};
    bool has_cheap_servers{true};
};

struct spend_planner_options {
    /// Throughput of one server, in units of work per second.
    double units_per_server{2000};
    /// Time from an order until the server serves.
    duration lead_time{std::chrono::minutes(5)};
    /// Multiple of the lead time after which an ordered server is overdue and not counted any more.
    double overdue_factor{2.0};
    /// How long nothing is ordered of a kind of server in a zone where an order became overdue.
    duration market_retry_delay{std::chrono::minutes(15)};
    /// How long there must be a surplus of servers before one is drained.
    duration scale_in_delay{std::chrono::minutes(4)};
    /// Margin above the forecast that the capacity is planned for, as a share of the forecast.
    double headroom{0.02};
    /// Maximum share of cheap servers.
    double max_cheap_share{0.5};
    /// Share of the expected work that must still be served after all cheap servers of one zone were reclaimed.
    double reclaim_cover{0.85};
    /// Prices per server and hour, in the currency of the manifest.
    double regular_price{1.0};
    double cheap_price{0.35};
    /// Maximum spending per hour; 0 means no limit.
    double max_price_per_hour{0};
};

/// State that the caller keeps between two plans.
struct spend_planner_state {
    std::map<server_kind, wall_time> surplus_since;
    /// Time until which nothing is ordered of a kind of server in a zone, because an order there became overdue.
    std::map<std::pair<zone_name, server_kind>, wall_time> closed_until;
};

struct spend_inputs {
    wall_time now{};
    std::span<const owned_server> servers;
    std::span<const zone_market> markets;
    /// Demand in units of work per second: now, and at the time when a server ordered now would serve.
    double current_units{};
    double expected_units{};
    double relative_error{};
    /// Share of the work that must not run on cheap servers, 0 to 1.
    double guaranteed_share{};
    demand_freshness freshness{demand_freshness::stale};
    bool has_authority{false};
};

enum class spend_action {
    /// Order one server.
    order,
    /// Stop sending new work to the server.
    drain,
    /// Stop draining the server and send it work again.
    keep,
    /// Return the server, which has no running requests, to the provider.
    release,
};

struct spend_order {
    spend_action action{};
    zone_name zone;
    server_kind kind{};
    /// Empty for `order`.
    backend_server_name server;

    friend bool operator==(const spend_order&, const spend_order&) = default;
};

enum class spend_reason {
    in_balance,
    no_authority,
    stale_demand,
    demand_grows,
    reclaim_cover,
    demand_shrinks,
    /// More servers are needed than the manifest permits.
    limit_reached,
    /// Regular servers are ordered instead of cheap ones that are not available.
    market_unavailable,
};

[[nodiscard]] std::string_view get_spend_reason_name(spend_reason reason) noexcept;
[[nodiscard]] std::string_view get_spend_action_name(spend_action action) noexcept;

struct spend_plan {
    std::vector<spend_order> orders;
    spend_reason reason{spend_reason::in_balance};
    std::uint32_t wanted_regular{};
    std::uint32_t wanted_cheap{};
    /// Price per hour of all servers that are not draining.
    double price_per_hour{};
};

/// Decides how many backend servers of each kind run in each availability zone. It keeps no state of its own between
/// two plans.
class spend_planner {
public:
    explicit spend_planner(spend_planner_options options);

    /// Returns the plan for all availability zones. A lease holder executes only the orders for its own zone.
    /// Thread safe if each thread passes its own state.
    [[nodiscard]] spend_plan plan(const spend_inputs& inputs, spend_planner_state& state) const;

private:
    struct wanted_servers {
        std::uint32_t regular{};
        std::uint32_t cheap{};
        bool is_for_reclaim_cover{false};
        bool is_limited{false};
        bool is_market_closed{false};
    };
    class round;

    [[nodiscard]] wanted_servers get_wanted(const spend_inputs& inputs, double units, std::uint32_t cheap_zones) const;
    void add_reclaim_cover(wanted_servers& wanted, double units, std::uint32_t cheap_zones) const;
    void apply_limits(wanted_servers& wanted, const spend_inputs& inputs) const;
    [[nodiscard]] double get_price(const wanted_servers& wanted) const;

    spend_planner_options m_options;
};

} // namespace dragonflywell::policy
