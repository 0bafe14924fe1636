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
    /// Ordered and not seen yet.
    ordered,
    serving,
    /// Gets nothing new and finishes what it has.
    draining,
};

/// A backend server that runs, or was ordered, for one model.
struct owned_server {
    /// The idempotency key of the order until the server is seen.
    backend_server_name name;
    zone_name zone;
    server_kind kind{server_kind::regular};
    server_state state{server_state::serving};
    duration in_state{};
    /// Whether it has no work left.
    bool is_idle{false};
};

/// What the manifest permits in one availability zone.
struct zone_market {
    zone_name zone;
    std::uint32_t most_servers{};
    bool has_cheap_servers{true};
};

struct spend_planner_options {
    /// Work of one server in a second, in units.
    double units_per_server{2000};
    /// From an order to a server that serves.
    duration lead_time{std::chrono::minutes(5)};
    /// Multiple of the lead time after which an ordered server is not counted on any more.
    double overdue_factor{2.0};
    /// How long a market that has not delivered is left alone.
    duration market_retry_delay{std::chrono::minutes(15)};
    /// How long there must be a server too many before it is withdrawn.
    duration scale_in_delay{std::chrono::minutes(4)};
    /// How far above the forecast the fleet is kept able to serve.
    double headroom{0.02};
    /// Greatest share of the servers that may be cheap.
    double max_cheap_share{0.5};
    /// Part of the expected work that must be served after all cheap servers of one zone have vanished.
    double reclaim_cover{0.85};
    /// Prices for one server and hour, in the currency of the manifest.
    double regular_price{1.0};
    double cheap_price{0.35};
    /// Greatest spending for one hour; 0 means no limit.
    double max_price_per_hour{0};
};

/// Kept by the caller between two plans.
struct spend_planner_state {
    std::map<server_kind, wall_time> surplus_since;
    /// Until when nothing is ordered of a kind in a zone that has not delivered.
    std::map<std::pair<zone_name, server_kind>, wall_time> closed_until;
};

struct spend_inputs {
    wall_time now{};
    std::span<const owned_server> servers;
    std::span<const zone_market> markets;
    /// Work asked for per second, in units: now, and when an order of now would serve.
    double current_units{};
    double expected_units{};
    double relative_error{};
    /// Part of the work that must not be on cheap servers, 0 to 1.
    double guaranteed_share{};
    demand_freshness freshness{demand_freshness::stale};
    bool has_authority{false};
};

enum class spend_action {
    /// Order one server.
    order,
    /// Stop giving the server new work.
    drain,
    /// Give a draining server work again.
    keep,
    /// Give the server back; it has no work left.
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
    /// More is wanted than the manifest allows.
    limit_reached,
    /// Regular servers stand in for cheap ones that cannot be had.
    market_unavailable,
};

[[nodiscard]] std::string_view get_spend_reason_name(spend_reason reason) noexcept;
[[nodiscard]] std::string_view get_spend_action_name(spend_action action) noexcept;

struct spend_plan {
    std::vector<spend_order> orders;
    spend_reason reason{spend_reason::in_balance};
    std::uint32_t wanted_regular{};
    std::uint32_t wanted_cheap{};
    /// Price of all servers that are not draining, for one hour.
    double price_per_hour{};
};

/// Decides how many backend servers run, of which kind and where. Pure apart from `memory`.
class spend_planner {
public:
    explicit spend_planner(spend_planner_options options);

    /// Returns the plan for all availability zones; a lease holder carries out the orders of its own zone only.
    /// Thread safe when each thread has its own `memory`.
    [[nodiscard]] spend_plan plan(const spend_inputs& inputs, spend_planner_state& memory) const;

private:
    struct wanted_servers {
        std::uint32_t regular{};
        std::uint32_t cheap{};
        bool is_for_cover{false};
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
