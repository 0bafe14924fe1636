/// Compares the spending for the served work over several traces and seeds, in virtual time.
///
/// Usage: bench_fleet_spend [SEEDS]. Prints the medians and the spread of the spending over the seeds for each
/// deployment and trace.

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <string>
#include <vector>

#include "fleet_model/spend_run.hpp"

namespace {

using namespace dragonflywell;
using namespace dragonflywell::fleet_model;

constexpr std::uint64_t default_seeds = 20;
constexpr std::uint32_t trace_seconds = 4 * 3600;
constexpr double max_spend_ratio = 1.10;

struct row {
    std::vector<spend_result> results;

    [[nodiscard]] double get(double spend_result::*figure, double part = 0.5) const {
        std::vector<double> values;
        for (const spend_result& result : results) {
            values.push_back(result.*figure);
        }
        std::sort(values.begin(), values.end());
        return values.at(static_cast<std::size_t>(part * static_cast<double>(values.size() - 1) + 0.5));
    }
};

void print_row(const std::string& name, const row& figures, const row& oracle) {
    const double ratio =
        figures.get(&spend_result::spend_per_million_units) / oracle.get(&spend_result::spend_per_million_units);
    const char* verdict = "";
    if (name == "planner") {
        verdict = ratio <= max_spend_ratio ? "met" : "SHORT";
    }
    fmt::print("  {:<8} service {:.4f}  guaranteed {:.4f}  spend per million units {:.4f} [{:.4f} {:.4f}]  of oracle "
               "{:.3f}  cheap share {:.3f}  interrupted {:.5f} {}\n",
               name, figures.get(&spend_result::service), figures.get(&spend_result::guaranteed_service),
               figures.get(&spend_result::spend_per_million_units),
               figures.get(&spend_result::spend_per_million_units, 0.1),
               figures.get(&spend_result::spend_per_million_units, 0.9), ratio, figures.get(&spend_result::cheap_share),
               figures.get(&spend_result::interrupted_share), verdict);
}

void run_trace(const deployment& fleet, trace_kind kind, std::uint64_t seeds) {
    const policy::spend_planner planner(make_spend_options(fleet));
    row fixed;
    row planned;
    row oracle;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const demand_trace trace = make_trace(fleet, {.kind = kind, .seed = seed, .seconds = trace_seconds});
        fixed.results.push_back(run_spend_static(fleet, trace));
        planned.results.push_back(run_spend(fleet, trace, planner));
        oracle.results.push_back(run_spend_oracle(fleet, trace));
    }
    fmt::print("{} {}\n", fleet.name, get_trace_name(kind));
    print_row("static", fixed, oracle);
    print_row("planner", planned, oracle);
    print_row("oracle", oracle, oracle);
}

} // namespace

int main(int argc, char** argv) {
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : default_seeds;
    for (const deployment& fleet : {make_jonosfera(), make_carbonera()}) {
        for (const trace_kind kind : {trace_kind::storm_swing, trace_kind::slow_drift, trace_kind::daily_cycle,
                                      trace_kind::flash, trace_kind::market_gone, trace_kind::zone_reclaimed}) {
            run_trace(fleet, kind, seeds);
        }
    }
    return 0;
}
