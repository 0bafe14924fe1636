#include "policy/spend_planner.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::policy {

namespace {

constexpr double min_units = 1e-9;
constexpr double rounding_slack = 1e-6;

std::uint32_t count_servers(double units, double per_server) {
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, units) / per_server - rounding_slack));
}

} // namespace

std::string_view get_spend_reason_name(spend_reason reason) noexcept {
    switch (reason) {
    case spend_reason::in_balance:
        return "in_balance";
    case spend_reason::no_authority:
        return "no_authority";
    case spend_reason::stale_demand:
        return "stale_demand";
    case spend_reason::demand_grows:
        return "demand_grows";
    case spend_reason::reclaim_cover:
        return "reclaim_cover";
    case spend_reason::demand_shrinks:
        return "demand_shrinks";
    case spend_reason::limit_reached:
        return "limit_reached";
    case spend_reason::market_unavailable:
        return "market_unavailable";
    }
    return "in_balance";
}

std::string_view get_spend_action_name(spend_action action) noexcept {
    switch (action) {
    case spend_action::order:
        return "order";
    case spend_action::drain:
        return "drain";
    case spend_action::keep:
        return "keep";
    case spend_action::release:
        return "release";
    }
    return "order";
}

/// Server counts of one planning round, updated with each order that is added to the plan.
class spend_planner::round {
public:
    round(const spend_inputs& inputs, const spend_planner_options& options, spend_planner_state& state)
        : m_inputs(&inputs), m_options(&options), m_state(&state) {
        const duration overdue = std::chrono::duration_cast<duration>(options.lead_time * options.overdue_factor);
        for (const owned_server& server : inputs.servers) {
            if (server.state == server_state::ordered && server.in_state >= overdue) {
                close_market(server, overdue);
                continue;
            }
            ++m_zone_total[server.zone];
            if (server.state != server_state::draining) {
                ++m_count[server.kind];
                ++m_zone_count[{server.zone, server.kind}];
            }
        }
    }

    [[nodiscard]] std::uint32_t count(server_kind kind) const {
        const auto found = m_count.find(kind);
        return found == m_count.end() ? 0 : found->second;
    }

    [[nodiscard]] bool is_open(const zone_market& market, server_kind kind) const {
        if (kind == server_kind::cheap && !market.has_cheap_servers) {
            return false;
        }
        const auto found = m_state->closed_until.find({market.zone, kind});
        return found == m_state->closed_until.end() || m_inputs->now >= found->second;
    }

    [[nodiscard]] std::uint32_t count_cheap_zones() const {
        const auto open = std::count_if(m_inputs->markets.begin(), m_inputs->markets.end(),
                                        [this](const auto& market) { return is_open(market, server_kind::cheap); });
        return static_cast<std::uint32_t>(open);
    }

    /// Adds one server: keeps a draining one if there is any, else orders one in the zone with the fewest of its kind.
    /// Returns false if no server is available.
    bool add_server(server_kind kind, spend_plan& plan) {
        if (keep_draining_server(kind, plan)) {
            return true;
        }
        const zone_market* best = nullptr;
        for (const zone_market& market : m_inputs->markets) {
            if (!is_open(market, kind) || m_zone_total[market.zone] >= market.max_servers) {
                continue;
            }
            if (best == nullptr || m_zone_count[{market.zone, kind}] < m_zone_count[{best->zone, kind}]) {
                best = &market;
            }
        }
        if (best == nullptr) {
            return false;
        }
        plan.orders.push_back({.action = spend_action::order, .zone = best->zone, .kind = kind, .server = {}});
        ++m_zone_total[best->zone];
        ++m_zone_count[{best->zone, kind}];
        ++m_count[kind];
        return true;
    }

    /// Drains one serving server in the zone with the most of its kind.
    void drain_server(server_kind kind, spend_plan& plan) {
        const owned_server* best = nullptr;
        for (const owned_server& server : m_inputs->servers) {
            if (server.kind != kind || server.state != server_state::serving || has_order(server, plan)) {
                continue;
            }
            if (best == nullptr || m_zone_count[{server.zone, kind}] > m_zone_count[{best->zone, kind}]) {
                best = &server;
            }
        }
        if (best == nullptr) {
            return;
        }
        plan.orders.push_back({.action = spend_action::drain, .zone = best->zone, .kind = kind, .server = best->name});
        --m_zone_count[{best->zone, kind}];
        --m_count[kind];
    }

    void release_idle(spend_plan& plan) const {
        for (const owned_server& server : m_inputs->servers) {
            if (server.state == server_state::draining && server.is_idle && !has_order(server, plan)) {
                plan.orders.push_back(
                    {.action = spend_action::release, .zone = server.zone, .kind = server.kind, .server = server.name});
            }
        }
    }

private:
    void close_market(const owned_server& server, duration overdue) {
        const wall_time until = m_inputs->now - (server.in_state - overdue) + m_options->market_retry_delay;
        wall_time& closed = m_state->closed_until[{server.zone, server.kind}];
        closed = std::max(closed, until);
    }

    bool keep_draining_server(server_kind kind, spend_plan& plan) {
        for (const owned_server& server : m_inputs->servers) {
            if (server.kind == kind && server.state == server_state::draining && !has_order(server, plan)) {
                plan.orders.push_back(
                    {.action = spend_action::keep, .zone = server.zone, .kind = kind, .server = server.name});
                ++m_zone_count[{server.zone, kind}];
                ++m_count[kind];
                return true;
            }
        }
        return false;
    }

    static bool has_order(const owned_server& server, const spend_plan& plan) {
        return std::any_of(plan.orders.begin(), plan.orders.end(),
                           [&](const spend_order& order) { return order.server == server.name; });
    }

    const spend_inputs* m_inputs;
    const spend_planner_options* m_options;
    spend_planner_state* m_state;
    std::map<server_kind, std::uint32_t> m_count;
    std::map<zone_name, std::uint32_t> m_zone_total;
    std::map<std::pair<zone_name, server_kind>, std::uint32_t> m_zone_count;
};

spend_planner::spend_planner(spend_planner_options options) : m_options(options) {}

spend_plan spend_planner::plan(const spend_inputs& inputs, spend_planner_state& state) const {
    if (!inputs.has_authority) {
        return {.orders = {}, .reason = spend_reason::no_authority};
    }
    if (inputs.freshness == demand_freshness::stale) {
        return {.orders = {}, .reason = spend_reason::stale_demand};
    }
    round servers(inputs, m_options, state);
    const wanted_servers wanted =
        get_wanted(inputs, std::max(inputs.current_units, inputs.expected_units), servers.count_cheap_zones());
    spend_plan result{.orders = {}, .wanted_regular = wanted.regular, .wanted_cheap = wanted.cheap};
    bool is_limit_reached = wanted.is_limited;
    std::uint32_t missing_cheap = 0;
    while (servers.count(server_kind::cheap) < wanted.cheap) {
        if (!servers.add_server(server_kind::cheap, result)) {
            missing_cheap = wanted.cheap - servers.count(server_kind::cheap);
            break;
        }
    }
    while (servers.count(server_kind::regular) < wanted.regular + missing_cheap) {
        if (!servers.add_server(server_kind::regular, result)) {
            is_limit_reached = true;
            break;
        }
    }
    const bool is_growing = !result.orders.empty();
    for (const auto& [kind, most] : {std::pair(server_kind::regular, wanted.regular + missing_cheap),
                                     std::pair(server_kind::cheap, wanted.cheap)}) {
        if (servers.count(kind) <= most) {
            state.surplus_since.erase(kind);
            continue;
        }
        const wall_time since = state.surplus_since.try_emplace(kind, inputs.now).first->second;
        if (inputs.now - since >= m_options.scale_in_delay) {
            servers.drain_server(kind, result);
        }
    }
    if (is_limit_reached) {
        result.reason = spend_reason::limit_reached;
    } else if (is_growing && (wanted.is_market_closed || missing_cheap > 0)) {
        result.reason = spend_reason::market_unavailable;
    } else if (is_growing) {
        result.reason = wanted.is_for_reclaim_cover ? spend_reason::reclaim_cover : spend_reason::demand_grows;
    } else if (!result.orders.empty()) {
        result.reason = spend_reason::demand_shrinks;
    }
    servers.release_idle(result);
    result.price_per_hour =
        get_price({.regular = servers.count(server_kind::regular), .cheap = servers.count(server_kind::cheap)});
    return result;
}

spend_planner::wanted_servers spend_planner::get_wanted(const spend_inputs& inputs, double units,
                                                        std::uint32_t cheap_zones) const {
    const double planned = std::max(units, min_units) * (1 + std::max(m_options.headroom, inputs.relative_error));
    const std::uint32_t all = count_servers(planned, m_options.units_per_server);
    const std::uint32_t guaranteed = count_servers(planned * inputs.guaranteed_share, m_options.units_per_server);
    wanted_servers wanted;
    wanted.is_market_closed = cheap_zones < inputs.markets.size();
    if (cheap_zones > 0) {
        const auto max_cheap = static_cast<std::uint32_t>(std::floor(m_options.max_cheap_share * all));
        wanted.cheap = std::min(max_cheap, all - std::min(all, guaranteed));
    }
    wanted.regular = all - wanted.cheap;
    add_reclaim_cover(wanted, units, cheap_zones);
    apply_limits(wanted, inputs);
    return wanted;
}

void spend_planner::add_reclaim_cover(wanted_servers& wanted, double units, std::uint32_t cheap_zones) const {
    if (cheap_zones == 0) {
        return;
    }
    const std::uint32_t needed = count_servers(units * m_options.reclaim_cover, m_options.units_per_server);
    const auto left = [&] { return wanted.regular + wanted.cheap - (wanted.cheap + cheap_zones - 1) / cheap_zones; };
    const bool is_cheap_cover_cheaper =
        m_options.cheap_price * cheap_zones < m_options.regular_price * (cheap_zones - 1);
    while (left() < needed) {
        const double share = static_cast<double>(wanted.cheap + 1) / (wanted.regular + wanted.cheap + 1);
        if (is_cheap_cover_cheaper && share <= m_options.max_cheap_share) {
            ++wanted.cheap;
        } else {
            ++wanted.regular;
        }
        wanted.is_for_reclaim_cover = true;
    }
}

void spend_planner::apply_limits(wanted_servers& wanted, const spend_inputs& inputs) const {
    std::uint32_t most = 0;
    for (const zone_market& market : inputs.markets) {
        most += market.max_servers;
    }
    const auto is_over = [&] {
        const bool is_over_price = m_options.max_price_per_hour > 0 && get_price(wanted) > m_options.max_price_per_hour;
        return wanted.regular + wanted.cheap > most || is_over_price;
    };
    while (is_over() && wanted.regular + wanted.cheap > 0) {
        // Cheap servers, which can be reclaimed anyway, are removed first. The guaranteed work keeps its servers for as
        // long as the limit permits.
        --(wanted.cheap > 0 ? wanted.cheap : wanted.regular);
        wanted.is_limited = true;
    }
}

double spend_planner::get_price(const wanted_servers& wanted) const {
    return wanted.regular * m_options.regular_price + wanted.cheap * m_options.cheap_price;
}

} // namespace dragonflywell::policy
