#include <doctest/doctest.h>

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

#include "fleet_model/role_run.hpp"
#include "fleet_model/spend_run.hpp"
#include "policy/horizon_role_planner.hpp"

// Compares the decisions of whole simulated runs with golden files in readable text. To update them after an intended
// change:
//   DRAGONFLYWELL_UPDATE_GOLDEN=1 build/bin/test_policy --test-case='golden*'

using namespace dragonflywell;
using namespace dragonflywell::fleet_model;

namespace {

constexpr std::uint64_t golden_seed = 1;
constexpr std::uint32_t role_seconds = 1800;
constexpr std::uint32_t spend_seconds = 4 * 3600;

const char* get_role_letter(fleet::engine_role role) {
    switch (role) {
    case fleet::engine_role::mixed:
        return "M";
    case fleet::engine_role::prefill:
        return "P";
    case fleet::engine_role::decode:
        return "D";
    }
    return "?";
}

/// Returns one letter for each engine: its role, in lower case while it is unavailable, or `-` if it is lost.
std::string draw_engines(std::span<const policy::planned_engine> engines) {
    std::string text;
    for (const policy::planned_engine& engine : engines) {
        const char letter = *get_role_letter(engine.target.value_or(engine.role));
        if (engine.state == policy::engine_state::lost) {
            text += '-';
        } else {
            text += engine.state == policy::engine_state::serving ? letter : static_cast<char>(std::tolower(letter));
        }
    }
    return text;
}

bool is_blocked(policy::role_reason reason) {
    return reason == policy::role_reason::stale_demand || reason == policy::role_reason::no_authority;
}

std::string format_role_plans(const deployment& fleet, trace_kind kind) {
    const demand_trace trace = make_trace(fleet, {.kind = kind, .seed = golden_seed, .seconds = role_seconds});
    const policy::horizon_role_planner planner({});
    std::string text = fmt::format("{} {}: second, engines, prefill and decode in units per second, reason, orders\n",
                                   fleet.name, get_trace_name(kind));
    policy::role_reason last = policy::role_reason::gain_too_small;
    const auto observe = [&](std::uint32_t second, const policy::role_inputs& inputs, const policy::role_plan& plan) {
        const bool is_reported_reason = plan.reason != last && (is_blocked(plan.reason) || is_blocked(last));
        last = plan.reason;
        if (plan.orders.empty() && !is_reported_reason) {
            return;
        }
        text += fmt::format("{:>5} {} {:>6.0f} {:>6.0f} {}", second, draw_engines(inputs.engines),
                            inputs.current.prefill, inputs.current.decode, policy::get_role_reason_name(plan.reason));
        for (const policy::role_order& order : plan.orders) {
            text +=
                fmt::format(" {}:{}>{}", order.engine.value(), get_role_letter(order.from), get_role_letter(order.to));
        }
        text += "\n";
    };
    const role_split start = find_best_split(fleet, trace, {.from = 0, .to = 60});
    const role_result result = run_roles(fleet, trace, planner, start, golden_seed, observe);
    return text + fmt::format("goodput {:.3f}, worst organisation {:.3f}, {} changes\n", result.goodput,
                              result.worst_goodput, result.changes);
}

std::string format_spend_plans(const deployment& fleet, trace_kind kind) {
    const demand_trace trace = make_trace(fleet, {.kind = kind, .seed = golden_seed, .seconds = spend_seconds});
    const policy::spend_planner planner(make_spend_options(fleet));
    std::string text = fmt::format("{} {}: second, units per second, wanted regular and cheap, reason, orders\n",
                                   fleet.name, get_trace_name(kind));
    const auto observe = [&](std::uint32_t second, const policy::spend_inputs& inputs, const policy::spend_plan& plan) {
        if (plan.orders.empty()) {
            return;
        }
        text += fmt::format("{:>5} {:>6.0f} {:>2} {:>2} {}", second, inputs.expected_units, plan.wanted_regular,
                            plan.wanted_cheap, policy::get_spend_reason_name(plan.reason));
        for (const policy::spend_order& order : plan.orders) {
            text += fmt::format(" {}:{}{}{}", policy::get_spend_action_name(order.action), order.zone.value(),
                                order.kind == policy::server_kind::cheap ? "/cheap" : "/regular",
                                order.server.empty() ? "" : "/" + order.server.value());
        }
        text += "\n";
    };
    const spend_result result = run_spend(fleet, trace, planner, observe);
    return text + fmt::format("service {:.3f}, spend {:.1f}, {:.2f} on cheap servers, {} orders\n", result.service,
                              result.spend, result.cheap_share, result.orders);
}

void check_golden(const std::string& name, const std::string& text) {
    const std::string path = "tests/golden/fleet_" + name + ".txt";
    if (std::getenv("DRAGONFLYWELL_UPDATE_GOLDEN") != nullptr) { // NOLINT(concurrency-mt-unsafe)
        std::ofstream(path) << text;
        return;
    }
    std::ostringstream expected;
    expected << std::ifstream(path).rdbuf();
    CAPTURE(path);
    CHECK(text == expected.str());
}

} // namespace

TEST_CASE("golden plans of roles") {
    for (const trace_kind kind : {trace_kind::storm_swing, trace_kind::slow_drift, trace_kind::daily_cycle,
                                  trace_kind::flash, trace_kind::threshold_noise, trace_kind::engine_lost,
                                  trace_kind::lagging_reports, trace_kind::missing_reports, trace_kind::log_outage}) {
        std::string text;
        for (const deployment& fleet : {make_jonosfera(), make_carbonera()}) {
            text += format_role_plans(fleet, kind);
        }
        check_golden("roles_" + std::string(get_trace_name(kind)), text);
    }
}

TEST_CASE("golden plans of spending") {
    for (const trace_kind kind :
         {trace_kind::daily_cycle, trace_kind::flash, trace_kind::market_gone, trace_kind::zone_reclaimed}) {
        std::string text;
        for (const deployment& fleet : {make_jonosfera(), make_carbonera()}) {
            text += format_spend_plans(fleet, kind);
        }
        check_golden("spend_" + std::string(get_trace_name(kind)), text);
    }
}
