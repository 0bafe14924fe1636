/// Compares role planners over several traces and seeds, in virtual time.
///
/// Usage: bench_fleet_roles [SEEDS]. Prints the median and the spread over the seeds for each deployment, trace and
/// planner.

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "fleet_model/role_run.hpp"
#include "policy/horizon_role_planner.hpp"

namespace {

using namespace dragonflywell;
using namespace dragonflywell::fleet_model;

constexpr std::uint64_t default_seeds = 20;
constexpr double min_goodput_ratio = 0.95;
constexpr double max_change_ratio = 2.0;

double get_quantile(std::vector<double> values, double part) {
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(part * static_cast<double>(values.size() - 1) + 0.5));
}

struct row {
    std::vector<double> goodput;
    std::vector<double> worst;
    std::vector<double> changes;

    void add(const role_result& result) {
        goodput.push_back(result.goodput);
        worst.push_back(result.worst_goodput);
        changes.push_back(result.changes);
    }
};

void print_row(const std::string& name, const row& figures, const row& oracle) {
    const double ratio = get_quantile(figures.goodput, 0.5) / get_quantile(oracle.goodput, 0.5);
    const double oracle_changes = get_quantile(oracle.changes, 0.5);
    std::string verdict;
    if (name == "horizon") {
        const bool is_met =
            ratio >= min_goodput_ratio && get_quantile(figures.changes, 0.5) <= max_change_ratio * oracle_changes;
        verdict = is_met ? "met" : "SHORT";
    }
    fmt::print(
        "  {:<10} goodput {:.4f} [{:.4f} {:.4f}]  of oracle {:.3f}  worst org {:.4f}  changes {:>4} [{} {}] {}\n", name,
        get_quantile(figures.goodput, 0.5), get_quantile(figures.goodput, 0.1), get_quantile(figures.goodput, 0.9),
        ratio, get_quantile(figures.worst, 0.5), get_quantile(figures.changes, 0.5), get_quantile(figures.changes, 0.1),
        get_quantile(figures.changes, 0.9), verdict);
}

void run_trace(const deployment& fleet, trace_kind kind, std::uint64_t seeds) {
    const static_planner fixed;
    const threshold_planner threshold;
    const greedy_planner greedy(mixed_efficiency);
    const policy::horizon_role_planner horizon({});
    std::map<std::string, row> rows;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const demand_trace trace = make_trace(fleet, {.kind = kind, .seed = seed});
        const auto end = static_cast<std::uint32_t>(trace.demand.size());
        const role_split hindsight = find_best_split(fleet, trace, {.from = 0, .to = end});
        const role_split start = find_best_split(fleet, trace, {.from = 0, .to = 60});
        role_split split_start = start;
        split_start.prefill += split_start.mixed / 2;
        split_start.decode += split_start.mixed - split_start.mixed / 2;
        split_start.mixed = 0;
        rows["static"].add(run_roles(fleet, trace, fixed, hindsight, seed));
        rows["threshold"].add(run_roles(fleet, trace, threshold, split_start, seed));
        rows["greedy"].add(run_roles(fleet, trace, greedy, start, seed));
        rows["horizon"].add(run_roles(fleet, trace, horizon, start, seed));
        rows["oracle"].add(run_oracle(fleet, trace));
    }
    fmt::print("{} {}\n", fleet.name, get_trace_name(kind));
    for (const char* name : {"static", "threshold", "greedy", "horizon", "oracle"}) {
        print_row(name, rows[name], rows["oracle"]);
    }
}

} // namespace

int main(int argc, char** argv) {
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : default_seeds;
    for (const deployment& fleet : {make_jonosfera(), make_carbonera()}) {
        for (const trace_kind kind :
             {trace_kind::storm_swing, trace_kind::slow_drift, trace_kind::daily_cycle, trace_kind::flash,
              trace_kind::threshold_noise, trace_kind::engine_lost, trace_kind::lagging_reports,
              trace_kind::missing_reports, trace_kind::log_outage}) {
            run_trace(fleet, kind, seeds);
        }
    }
    return 0;
}
