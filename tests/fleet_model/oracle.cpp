#include <algorithm>
#include <limits>

#include "fleet_model/modelled_engines.hpp"
#include "fleet_model/request_queues.hpp"
#include "fleet_model/role_run.hpp"

namespace dragonflywell::fleet_model {

namespace {

constexpr std::uint32_t step_seconds = drain_seconds + change_seconds;
constexpr int max_changes = 3;
constexpr double draining_part = 0.5 * drain_seconds / step_seconds;

/// Finds the sequence of splits that serves the most work.
class oracle_search {
public:
    oracle_search(const deployment& fleet, const demand_trace& trace)
        : m_fleet(&fleet), m_trace(&trace), m_splits(get_splits(static_cast<int>(fleet.engines))) {}

    [[nodiscard]] std::vector<role_split> find() {
        const std::size_t steps = m_trace->demand.size() / step_seconds;
        std::vector<std::vector<std::uint16_t>> previous(steps, std::vector<std::uint16_t>(m_splits.size()));
        std::vector<double> value(m_splits.size(), 0.0);
        for (std::size_t step = 0; step < steps; ++step) {
            value = advance(step, value, previous[step]);
        }
        std::vector<role_split> sequence(steps);
        auto at = static_cast<std::size_t>(std::max_element(value.begin(), value.end()) - value.begin());
        for (std::size_t step = steps; step > 0; --step) {
            sequence[step - 1] = m_splits[at];
            at = previous[step - 1][at];
        }
        return sequence;
    }

private:
    [[nodiscard]] std::vector<double> advance(std::size_t step, const std::vector<double>& value,
                                              std::vector<std::uint16_t>& previous) const {
        policy::role_demand mean;
        const auto first = static_cast<std::uint32_t>(step * step_seconds);
        for (std::uint32_t second = first; second < first + step_seconds; ++second) {
            const policy::role_demand total = m_trace->get_total(second);
            mean.prefill += total.prefill / step_seconds;
            mean.decode += total.decode / step_seconds;
        }
        const bool is_frozen =
            m_trace->log_down && first + step_seconds > m_trace->log_down->from && first < m_trace->log_down->to;
        std::vector<double> next(m_splits.size(), -std::numeric_limits<double>::infinity());
        for (std::size_t to = 0; to < m_splits.size(); ++to) {
            for (std::size_t from = 0; from < m_splits.size(); ++from) {
                const int changes = count_changes(m_splits[from], m_splits[to]);
                // The first split is free, as for the other planners.
                if (step > 0 && (changes > max_changes || (is_frozen && changes > 0))) {
                    continue;
                }
                const double gained = step == 0 ? get_served(m_splits[to], m_splits[to], mean, first)
                                                : get_served(m_splits[from], m_splits[to], mean, first) -
                                                      changes * m_fleet->units_per_engine;
                if (value[from] + gained > next[to]) {
                    next[to] = value[from] + gained;
                    previous[to] = static_cast<std::uint16_t>(from);
                }
            }
        }
        return next;
    }

    static int count_changes(const role_split& from, const role_split& to) {
        return std::max(0, to.prefill - from.prefill) + std::max(0, to.decode - from.decode) +
               std::max(0, to.mixed - from.mixed);
    }

    [[nodiscard]] double get_served(const role_split& from, const role_split& to, const policy::role_demand& demand,
                                    std::uint32_t first) const {
        const role_split unchanged{.prefill = std::min(from.prefill, to.prefill),
                                   .decode = std::min(from.decode, to.decode),
                                   .mixed = std::min(from.mixed, to.mixed)};
        policy::role_capacity capacity = get_capacity(unchanged, m_fleet->units_per_engine, mixed_efficiency);
        const double units = m_fleet->units_per_engine * draining_part;
        capacity.prefill += (from.prefill - unchanged.prefill) * units;
        capacity.decode += (from.decode - unchanged.decode) * units;
        capacity.mixed += (from.mixed - unchanged.mixed) * units * mixed_efficiency;
        if (m_trace->engine_lost && m_trace->engine_lost->contains(first)) {
            double& largest = capacity.prefill > capacity.decode ? capacity.prefill : capacity.decode;
            largest -= std::min(largest, m_fleet->units_per_engine);
        }
        return policy::get_served_units(capacity, demand) * step_seconds;
    }

    const deployment* m_fleet;
    const demand_trace* m_trace;
    std::vector<role_split> m_splits;
};

} // namespace

role_result run_oracle(const deployment& fleet, const demand_trace& trace) {
    const std::vector<role_split> sequence = oracle_search(fleet, trace).find();
    modelled_engines engines(fleet, sequence.front());
    request_queues queues(fleet);
    for (std::uint32_t second = 0; second < trace.demand.size(); ++second) {
        if (trace.engine_lost && trace.engine_lost->from == second) {
            engines.fail_engine();
        }
        if (trace.engine_lost && trace.engine_lost->to == second) {
            engines.restore_engine();
        }
        const bool is_frozen = trace.log_down && trace.log_down->contains(second);
        if (second % step_seconds == 0 && second / step_seconds < sequence.size() && !is_frozen) {
            engines.take(get_orders_towards(engines.get(), sequence[second / step_seconds], max_changes));
        }
        queues.step(trace.demand[second], engines.step());
    }
    return {
        .goodput = queues.get_goodput(), .worst_goodput = queues.get_worst_goodput(), .changes = engines.get_changes()};
}

} // namespace dragonflywell::fleet_model
