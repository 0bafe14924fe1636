#include "fleet_model/role_run.hpp"

#include <cmath>
#include <fmt/format.h>
#include <random>

#include "fleet_model/modelled_engines.hpp"
#include "fleet_model/request_queues.hpp"
#include "policy/demand_estimator.hpp"

namespace dragonflywell::fleet_model {

namespace {

constexpr std::uint32_t report_seconds = 5;
constexpr std::uint32_t plan_seconds = 2;
constexpr duration horizon = std::chrono::seconds(45);
const model_name modelled("model");

wall_time get_time(std::uint32_t second) {
    return wall_time(std::chrono::seconds(1000000) + std::chrono::seconds(second));
}

/// Simulates the entry hosts: each reports its share of the arrivals, late or not at all if the trace says so.
class reporting_hosts {
public:
    reporting_hosts(const deployment& fleet, const demand_trace& trace, std::uint64_t seed)
        : m_fleet(&fleet), m_trace(&trace), m_random(seed) {}

    /// Delivers the reports that arrive in this second to the estimator.
    void deliver(std::uint32_t second, policy::demand_estimator& estimator) {
        if (second % report_seconds == 0 && second >= report_seconds) {
            send(second);
        }
        std::erase_if(m_in_transit, [&](const auto& item) {
            if (item.first > second) {
                return false;
            }
            estimator.add(item.second, get_time(second));
            return true;
        });
    }

private:
    void send(std::uint32_t second) {
        std::uniform_real_distribution<double> unit(0, 1);
        const bool is_one_unresponsive = m_trace->unresponsive_host && m_trace->unresponsive_host->contains(second);
        const std::uint32_t responsive = m_fleet->hosts - (is_one_unresponsive ? 1 : 0);
        for (std::uint32_t host = 0; host < responsive; ++host) {
            if (unit(m_random) < m_trace->report_loss) {
                continue;
            }
            m_in_transit.emplace_back(second + m_trace->report_lag_seconds, make_report(second, host, responsive));
        }
    }

    [[nodiscard]] policy::demand_report make_report(std::uint32_t second, std::uint32_t host,
                                                    std::uint32_t responsive) const {
        policy::demand_report report{.host = host_name(fmt::format("h{}", host)),
                                     .incarnation = 1,
                                     .start = get_time(second - report_seconds),
                                     .length = std::chrono::seconds(report_seconds),
                                     .rows = {}};
        for (std::size_t index = 0; index < m_fleet->organisation_share.size(); ++index) {
            policy::role_demand sum;
            for (std::uint32_t at = second - report_seconds; at < second; ++at) {
                sum.prefill += m_trace->demand[at][index].prefill / responsive;
                sum.decode += m_trace->demand[at][index].decode / responsive;
            }
            report.rows.push_back(
                {.key = {.organisation = organisation_name(fmt::format("o{}", index)),
                         .model = modelled,
                         .service = {}},
                 .arrivals = 1,
                 .prompt_tokens = static_cast<std::uint64_t>(std::lround(sum.prefill / units_per_prompt_token)),
                 .output_tokens = static_cast<std::uint64_t>(std::lround(sum.decode / units_per_output_token))});
        }
        return report;
    }

    const deployment* m_fleet;
    const demand_trace* m_trace;
    std::mt19937_64 m_random;
    std::vector<std::pair<std::uint32_t, policy::demand_report>> m_in_transit;
};

policy::role_demand get_units(const policy::demand_rate& rate) {
    return {.prefill = rate.prompt_tokens * units_per_prompt_token,
            .decode = rate.output_tokens * units_per_output_token};
}

void apply_engine_loss(const demand_trace& trace, std::uint32_t second, modelled_engines& engines) {
    if (trace.engine_lost && trace.engine_lost->from == second) {
        engines.fail_engine();
    }
    if (trace.engine_lost && trace.engine_lost->to == second) {
        engines.restore_engine();
    }
}

bool is_log_down(const demand_trace& trace, std::uint32_t second) {
    return trace.log_down && trace.log_down->contains(second);
}

} // namespace

role_result run_roles(const deployment& fleet, const demand_trace& trace, const policy::role_planner& planner,
                      const role_split& start, std::uint64_t seed, const plan_observer& observe) {
    modelled_engines engines(fleet, start);
    request_queues queues(fleet);
    reporting_hosts hosts(fleet, trace, seed);
    policy::demand_estimator estimator({});
    policy::role_planner_state state;
    for (std::uint32_t second = 0; second < trace.demand.size(); ++second) {
        apply_engine_loss(trace, second, engines);
        hosts.deliver(second, estimator);
        if (second % plan_seconds == 0) {
            estimator.advance(get_time(second));
            const policy::demand_forecast now = estimator.forecast(modelled, duration::zero());
            const policy::demand_forecast ahead = estimator.forecast(modelled, horizon);
            const policy::role_inputs inputs{.now = get_time(second),
                                             .engines = engines.get(),
                                             .current = get_units(now.rate),
                                             .expected = get_units(ahead.rate),
                                             .relative_error = now.relative_error,
                                             .freshness = now.freshness,
                                             .has_authority = !is_log_down(trace, second)};
            const policy::role_plan plan = planner.plan(inputs, state);
            if (observe) {
                observe(second, inputs, plan);
            }
            engines.take(plan.orders);
        }
        queues.step(trace.demand[second], engines.step());
    }
    return {
        .goodput = queues.get_goodput(), .worst_goodput = queues.get_worst_goodput(), .changes = engines.get_changes()};
}

role_split find_best_split(const deployment& fleet, const demand_trace& trace, span_of_seconds span) {
    role_split best;
    double best_served = -1;
    for (const role_split& split : get_splits(static_cast<int>(fleet.engines))) {
        const policy::role_capacity capacity = get_capacity(split, fleet.units_per_engine, mixed_efficiency);
        double served = 0;
        for (std::uint32_t second = span.from; second < span.to; ++second) {
            served += policy::get_served_units(capacity, trace.get_total(second));
        }
        if (served > best_served) {
            best_served = served;
            best = split;
        }
    }
    return best;
}

} // namespace dragonflywell::fleet_model
