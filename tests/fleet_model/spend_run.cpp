#include "fleet_model/spend_run.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

#include "policy/demand_estimator.hpp"

namespace dragonflywell::fleet_model {

namespace {

using policy::owned_server;
using policy::server_kind;
using policy::server_state;

constexpr std::uint32_t max_servers_per_zone = 8;
constexpr double seconds_per_hour = 3600;
constexpr double units_per_million = 1e6;
/// Seconds of work on each reclaimed server that are lost and repeated elsewhere.
constexpr double interrupted_seconds = 10;
const model_name modelled("model");
const zone_name reclaimed_zone("z0");

wall_time get_time(std::uint32_t second) {
    return wall_time(std::chrono::seconds(1000000) + std::chrono::seconds(second));
}

/// Sums the served work and the spending.
class ledger {
public:
    ledger(const deployment& fleet, const policy::spend_planner_options& options)
        : m_fleet(&fleet), m_options(options) {}

    /// Adds one step. `regular` and `cheap`: serving servers; `paid_regular` and `paid_cheap`: servers that are paid
    /// for.
    void step(double asked, double regular, double cheap, double paid_regular, double paid_cheap) {
        const double guaranteed = asked * m_fleet->guaranteed_share;
        const double regular_units = regular * m_fleet->units_per_engine;
        const double cheap_units = cheap * m_fleet->units_per_engine;
        const double guaranteed_served = std::min(guaranteed, regular_units);
        const double on_cheap = std::min(asked - guaranteed, cheap_units);
        const double rest = std::min(asked - guaranteed - on_cheap, regular_units - guaranteed_served);
        m_asked += asked;
        m_guaranteed += guaranteed;
        m_guaranteed_served += guaranteed_served;
        m_cheap += on_cheap;
        m_served += guaranteed_served + on_cheap + rest;
        m_spend += (paid_regular * m_options.regular_price + paid_cheap * m_options.cheap_price) * spend_step_seconds /
                   seconds_per_hour;
    }

    void interrupt(double servers) {
        m_interrupted += servers * m_fleet->units_per_engine * interrupted_seconds / spend_step_seconds;
    }

    [[nodiscard]] spend_result get(std::uint32_t orders) const {
        return {.service = m_served / m_asked,
                .guaranteed_service = m_guaranteed_served / std::max(m_guaranteed, 1.0),
                .spend = m_spend,
                .spend_per_million_units = m_spend / (m_served * spend_step_seconds / units_per_million),
                .cheap_share = m_cheap / m_served,
                .interrupted_share = m_interrupted / m_asked,
                .orders = orders};
    }

private:
    const deployment* m_fleet;
    policy::spend_planner_options m_options;
    double m_asked{0};
    double m_served{0};
    double m_guaranteed{0};
    double m_guaranteed_served{0};
    double m_cheap{0};
    double m_interrupted{0};
    double m_spend{0};
};

double get_mean_units(const demand_trace& trace, std::uint32_t from) {
    double sum = 0;
    for (std::uint32_t second = from; second < from + spend_step_seconds; ++second) {
        const policy::role_demand total = trace.get_total(second);
        sum += total.prefill + total.decode;
    }
    return sum / spend_step_seconds;
}

bool is_market_gone(const demand_trace& trace, std::uint32_t second) {
    return trace.market_gone && trace.market_gone->contains(second);
}

bool is_reclaim(const demand_trace& trace, std::uint32_t second) {
    return trace.zone_reclaimed_at && second <= *trace.zone_reclaimed_at &&
           *trace.zone_reclaimed_at < second + spend_step_seconds;
}

/// Simulates the ordered backend servers and the platform that starts and reclaims them.
class modelled_servers {
public:
    modelled_servers(const deployment& fleet, std::uint32_t regular, std::uint32_t cheap) : m_zones(fleet.zones) {
        for (std::uint32_t index = 0; index < regular; ++index) {
            add(zone_name(fmt::format("z{}", index % m_zones)), server_kind::regular, server_state::serving);
        }
        for (std::uint32_t index = 0; index < cheap; ++index) {
            add(zone_name(fmt::format("z{}", index % m_zones)), server_kind::cheap, server_state::serving);
        }
    }

    void take(std::span<const policy::spend_order> orders) {
        for (const policy::spend_order& order : orders) {
            if (order.action == policy::spend_action::order) {
                add(order.zone, order.kind, server_state::ordered);
                ++m_orders;
                continue;
            }
            const auto found = std::find_if(m_servers.begin(), m_servers.end(),
                                            [&](const auto& server) { return server.name == order.server; });
            if (found == m_servers.end()) {
                continue;
            }
            if (order.action == policy::spend_action::release) {
                m_servers.erase(found);
            } else {
                found->state =
                    order.action == policy::spend_action::drain ? server_state::draining : server_state::serving;
                found->in_state = duration::zero();
                found->is_idle = false;
            }
        }
    }

    /// Removes all cheap servers of a zone that are not on order, and returns how many there were.
    std::uint32_t reclaim(const zone_name& zone) {
        const auto lost = std::erase_if(m_servers, [&](const owned_server& server) {
            return server.zone == zone && server.kind == server_kind::cheap && server.state != server_state::ordered;
        });
        return static_cast<std::uint32_t>(lost);
    }

    void step(bool is_cheap_market_gone) {
        for (owned_server& server : m_servers) {
            server.in_state += std::chrono::seconds(spend_step_seconds);
            const bool is_stuck = server.kind == server_kind::cheap && is_cheap_market_gone;
            if (server.state == server_state::ordered && !is_stuck &&
                server.in_state >= std::chrono::seconds(lead_seconds)) {
                server.state = server_state::serving;
                server.in_state = duration::zero();
            }
            // A drain lasts two steps. Meanwhile, the server gets no new work and is still paid for.
            server.is_idle = server.state == server_state::draining &&
                             server.in_state >= std::chrono::seconds(2 * spend_step_seconds);
        }
    }

    [[nodiscard]] double count(server_kind kind, bool is_paid) const {
        return static_cast<double>(std::count_if(m_servers.begin(), m_servers.end(), [&](const auto& server) {
            const bool is_wanted =
                server.state == server_state::serving || (is_paid && server.state == server_state::draining);
            return server.kind == kind && is_wanted;
        }));
    }

    [[nodiscard]] std::span<const owned_server> get() const noexcept { return m_servers; }
    [[nodiscard]] std::uint32_t get_orders() const noexcept { return m_orders; }

private:
    void add(const zone_name& zone, server_kind kind, server_state state) {
        m_servers.push_back({.name = backend_server_name(fmt::format("s{:04}", m_next++)),
                             .zone = zone,
                             .kind = kind,
                             .state = state,
                             .in_state = {},
                             .is_idle = false});
    }

    std::uint32_t m_zones;
    std::uint32_t m_next{0};
    std::uint32_t m_orders{0};
    std::vector<owned_server> m_servers;
};

policy::demand_report make_report(std::uint32_t start, double units) {
    return {.host = host_name("h0"),
            .incarnation = 1,
            .start = get_time(start),
            .length = std::chrono::seconds(spend_step_seconds),
            .rows = {{.key = {.organisation = organisation_name("o0"), .model = modelled, .service = {}},
                      .arrivals = 1,
                      .prompt_tokens = 0,
                      .output_tokens = static_cast<std::uint64_t>(std::lround(units * spend_step_seconds))}}};
}

policy::demand_estimator_options make_estimator_options() {
    return {.bucket = std::chrono::seconds(spend_step_seconds),
            .min_lateness_allowance = std::chrono::seconds(0),
            .stale_after = std::chrono::minutes(3),
            .level_gain = 0.3,
            .trend_gain = 0.1,
            .trend_damping = 0.95,
            .error_horizon_buckets = lead_seconds / spend_step_seconds};
}

std::uint32_t count_servers(double units, double per_server) {
    return static_cast<std::uint32_t>(std::ceil(units / per_server));
}

} // namespace

policy::spend_planner_options make_spend_options(const deployment& fleet) {
    return {.units_per_server = fleet.units_per_engine, .lead_time = std::chrono::seconds(lead_seconds)};
}

spend_result run_spend(const deployment& fleet, const demand_trace& trace, const policy::spend_planner& planner,
                       const spend_observer& observe) {
    const std::uint32_t first = count_servers(get_mean_units(trace, 0), fleet.units_per_engine) + 1;
    modelled_servers servers(fleet, first - first / 2, first / 2);
    ledger figures(fleet, make_spend_options(fleet));
    policy::demand_estimator estimator(make_estimator_options());
    policy::spend_planner_state state;
    std::vector<policy::zone_market> markets;
    for (std::uint32_t zone = 0; zone < fleet.zones; ++zone) {
        markets.push_back({.zone = zone_name(fmt::format("z{}", zone)), .max_servers = max_servers_per_zone});
    }
    for (std::uint32_t second = 0; second + spend_step_seconds <= trace.demand.size(); second += spend_step_seconds) {
        if (is_reclaim(trace, second)) {
            figures.interrupt(servers.reclaim(reclaimed_zone));
        }
        if (second > 0) {
            estimator.add(make_report(second - spend_step_seconds, get_mean_units(trace, second - spend_step_seconds)),
                          get_time(second));
        }
        estimator.advance(get_time(second));
        const policy::demand_forecast now = estimator.forecast(modelled, duration::zero());
        const policy::demand_forecast ahead = estimator.forecast(modelled, std::chrono::seconds(lead_seconds));
        const policy::spend_inputs inputs{.now = get_time(second),
                                          .servers = servers.get(),
                                          .markets = markets,
                                          .current_units = now.rate.output_tokens,
                                          .expected_units = ahead.rate.output_tokens,
                                          .relative_error = now.relative_error,
                                          .guaranteed_share = fleet.guaranteed_share,
                                          .freshness = now.freshness,
                                          .has_authority = true};
        const policy::spend_plan plan = planner.plan(inputs, state);
        if (observe) {
            observe(second, inputs, plan);
        }
        servers.take(plan.orders);
        servers.step(is_market_gone(trace, second));
        figures.step(get_mean_units(trace, second), servers.count(server_kind::regular, false),
                     servers.count(server_kind::cheap, false), servers.count(server_kind::regular, true),
                     servers.count(server_kind::cheap, true));
    }
    return figures.get(servers.get_orders());
}

spend_result run_spend_static(const deployment& fleet, const demand_trace& trace) {
    double peak = 0;
    for (std::uint32_t second = 0; second + spend_step_seconds <= trace.demand.size(); second += spend_step_seconds) {
        peak = std::max(peak, get_mean_units(trace, second));
    }
    const double servers = count_servers(peak, fleet.units_per_engine);
    ledger figures(fleet, make_spend_options(fleet));
    for (std::uint32_t second = 0; second + spend_step_seconds <= trace.demand.size(); second += spend_step_seconds) {
        figures.step(get_mean_units(trace, second), servers, 0, servers, 0);
    }
    return figures.get(0);
}

spend_result run_spend_oracle(const deployment& fleet, const demand_trace& trace) {
    const policy::spend_planner_options options = make_spend_options(fleet);
    ledger figures(fleet, options);
    std::uint32_t held_cheap = 0;
    for (std::uint32_t second = 0; second + spend_step_seconds <= trace.demand.size(); second += spend_step_seconds) {
        const double asked = get_mean_units(trace, second);
        const std::uint32_t all = count_servers(asked, fleet.units_per_engine);
        const std::uint32_t guaranteed = count_servers(asked * fleet.guaranteed_share, fleet.units_per_engine);
        const auto cap = static_cast<std::uint32_t>(std::floor(options.max_cheap_share * all));
        // An unavailable market delivers no new servers, but those that run already are kept.
        const std::uint32_t max_cheap = is_market_gone(trace, second) ? held_cheap : all;
        const std::uint32_t cheap = std::min({cap, all - guaranteed, max_cheap});
        held_cheap = cheap;
        figures.step(asked, all - cheap, cheap, all - cheap, cheap);
    }
    return figures.get(0);
}

} // namespace dragonflywell::fleet_model
