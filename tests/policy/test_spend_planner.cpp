#include <doctest/doctest.h>

#include <algorithm>

#include "policy/spend_planner.hpp"
#include "policy/weight_load_planner.hpp"
#include "policy/work_class.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;

namespace {

class spend_case {
public:
    spend_case() {
        for (const char* zone : {"a", "b", "c", "d"}) {
            markets.push_back({.zone = zone_name(zone), .max_servers = 8});
        }
    }

    void add(const char* zone, server_kind kind, int count, server_state state = server_state::serving) {
        for (int index = 0; index < count; ++index) {
            servers.push_back({.name = backend_server_name("s" + std::to_string(servers.size())),
                               .zone = zone_name(zone),
                               .kind = kind,
                               .state = state,
                               .in_state = {},
                               .is_idle = false});
        }
    }

    spend_plan plan(double units) {
        return planner.plan({.now = now,
                             .servers = servers,
                             .markets = markets,
                             .current_units = units,
                             .expected_units = units,
                             .relative_error = 0,
                             .guaranteed_share = 0.4,
                             .freshness = freshness,
                             .has_authority = has_authority},
                            state);
    }

    /// Executes the plan immediately.
    void apply(const spend_plan& result) {
        for (const spend_order& order : result.orders) {
            add(order.zone.value().c_str(), order.kind, 1);
        }
    }

    [[nodiscard]] double count(server_kind kind, const char* without_zone = "") const {
        return static_cast<double>(std::count_if(servers.begin(), servers.end(), [&](const owned_server& server) {
            return server.kind == kind && server.zone != zone_name(without_zone);
        }));
    }

    spend_planner planner{{}};
    spend_planner_state state;
    std::vector<owned_server> servers;
    std::vector<zone_market> markets;
    wall_time now{std::chrono::seconds(100000)};
    demand_freshness freshness{demand_freshness::fresh};
    bool has_authority{true};
};

constexpr double units = 20000;

} // namespace

TEST_CASE("after a reclaim of any zone's cheap servers the covered work is still served, and the share of cheap "
          "servers is limited") {
    spend_case fleet;
    fleet.apply(fleet.plan(units));
    CHECK(fleet.count(server_kind::cheap) > 0);
    CHECK(fleet.count(server_kind::cheap) <= 0.5 * static_cast<double>(fleet.servers.size()));
    CHECK(fleet.count(server_kind::regular) * 2000 >= 0.4 * units);
    for (const char* zone : {"a", "b", "c", "d"}) {
        const double left = (fleet.count(server_kind::regular) + fleet.count(server_kind::cheap, zone)) * 2000;
        CHECK(left >= 0.85 * units);
    }
    CHECK(fleet.plan(units).orders.empty());
}

TEST_CASE("regular servers are ordered if no cheap ones are available") {
    spend_case fleet;
    for (zone_market& market : fleet.markets) {
        market.has_cheap_servers = false;
    }
    const spend_plan plan = fleet.plan(units);
    CHECK(plan.reason == spend_reason::market_unavailable);
    CHECK(plan.wanted_cheap == 0);
    CHECK(plan.wanted_regular * 2000.0 >= units);
}

TEST_CASE("an overdue order stops further orders of its kind in that zone, and a replacement is ordered elsewhere") {
    spend_case fleet;
    fleet.apply(fleet.plan(units));
    const auto cheap = std::find_if(fleet.servers.begin(), fleet.servers.end(),
                                    [](const auto& server) { return server.kind == server_kind::cheap; });
    cheap->state = server_state::ordered;
    cheap->in_state = std::chrono::minutes(10);
    const spend_plan plan = fleet.plan(units);
    REQUIRE_FALSE(plan.orders.empty());
    for (const spend_order& order : plan.orders) {
        CHECK((order.kind == server_kind::regular || order.zone != cheap->zone));
    }
}

TEST_CASE("the limits of the manifest are never exceeded") {
    spend_case fleet;
    for (zone_market& market : fleet.markets) {
        market.max_servers = 1;
    }
    const spend_plan plan = fleet.plan(units);
    CHECK(plan.orders.size() == 4);
    CHECK(plan.reason == spend_reason::limit_reached);
    spend_case priced;
    priced.planner = spend_planner({.max_price_per_hour = 3});
    CHECK(priced.plan(units).price_per_hour <= 3);
}

TEST_CASE("a surplus server is drained after a delay, kept if it is needed again, else released once idle") {
    spend_case fleet;
    fleet.apply(fleet.plan(units));
    CHECK(fleet.plan(units / 2).orders.empty());
    fleet.now += std::chrono::minutes(30);
    const spend_plan drained = fleet.plan(units / 2);
    REQUIRE_FALSE(drained.orders.empty());
    CHECK(drained.reason == spend_reason::demand_shrinks);
    CHECK(drained.orders[0].action == spend_action::drain);
    const auto server = std::find_if(fleet.servers.begin(), fleet.servers.end(),
                                     [&](const auto& item) { return item.name == drained.orders[0].server; });
    server->state = server_state::draining;
    const spend_plan kept = fleet.plan(units);
    REQUIRE(kept.orders.size() == 1);
    CHECK(kept.orders[0].action == spend_action::keep);
    CHECK(kept.orders[0].server == server->name);
    server->is_idle = true;
    const spend_plan released = fleet.plan(units / 2);
    CHECK(std::any_of(released.orders.begin(), released.orders.end(), [&](const spend_order& order) {
        return order.action == spend_action::release && order.server == server->name;
    }));
}

TEST_CASE("nothing is ordered without authority or with stale demand") {
    spend_case fleet;
    fleet.has_authority = false;
    CHECK(fleet.plan(units).reason == spend_reason::no_authority);
    fleet.has_authority = true;
    fleet.freshness = demand_freshness::stale;
    CHECK(fleet.plan(units).reason == spend_reason::stale_demand);
    CHECK(fleet.plan(units).orders.empty());
}

TEST_CASE("only work that may be retried is placed on cheap servers, within their maximum share") {
    CHECK(get_work_class({.is_idempotent = true}) == work_class::repeatable);
    CHECK(get_work_class({.is_idempotent = false}) == work_class::guaranteed);
    CHECK(get_work_class({.is_idempotent = true, .accepts_cheap_servers = false}) == work_class::guaranteed);
    CHECK(get_work_class({.is_idempotent = true, .is_suspect = true}) == work_class::guaranteed);
    CHECK(get_work_class({.is_idempotent = true, .was_interrupted = true}) == work_class::guaranteed);
    const cheap_share half_used{.cheap_tokens = 450, .all_tokens = 1000, .most = 0.5};
    CHECK(may_use_cheap_server(work_class::repeatable, half_used, 10));
    CHECK_FALSE(may_use_cheap_server(work_class::repeatable, half_used, 500));
    CHECK_FALSE(may_use_cheap_server(work_class::guaranteed, half_used, 10));
}

TEST_CASE("weight loads start in order, within the throughput of the store") {
    const auto make_load = [](std::uint64_t bytes, bool is_running) {
        weight_load load;
        load.bytes = bytes;
        load.is_running = is_running;
        return load;
    };
    const weight_load_planner_options options{.store_bytes_per_second = 10, .max_load_time = std::chrono::seconds(100)};
    const std::vector<weight_load> loads{make_load(600, true), make_load(300, false), make_load(200, false),
                                         make_load(50, false)};
    CHECK(plan_weight_loads(loads, options) == std::vector<std::size_t>{1});
    const std::vector<weight_load> huge{make_load(5000, false), make_load(10, false)};
    CHECK(plan_weight_loads(huge, options) == std::vector<std::size_t>{0});
}
