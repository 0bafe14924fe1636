#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <future>
#include <set>
#include <sstream>

#include "matrix_checker.hpp"
#include "matrix_simulation.hpp"

using namespace dragonflywell;
using namespace dragonflywell::testing;

namespace {

/// Every call of a protocol that leaves the process.
const std::vector<std::string> steps{"append lease.claim",
                                     "read back lease.claim",
                                     "append lease.renewal",
                                     "read back lease.renewal",
                                     "append lease.release",
                                     "read back lease.release",
                                     "append order.intent",
                                     "read back order.intent",
                                     "send to checking",
                                     "send to ignoring",
                                     "send to platform",
                                     "append order.outcome",
                                     "read back order.outcome",
                                     "append configuration.delta",
                                     "read back configuration.delta",
                                     "append snapshot.chunk",
                                     "read snapshot",
                                     "poll"};

struct mutation_case {
    matrix_mutation mutation;
    std::string_view name;
};

constexpr std::array<mutation_case, 8> mutations{{
    {matrix_mutation::intent_not_read_back,
     "an intent is sent without being read back as valid and without a second look at the lease"},
    {matrix_mutation::sends_beside_unresolved_order, "a new order is sent while an old one may still arrive"},
    {matrix_mutation::query_resolves_repeated_order, "one sight of an order clears all sends of it"},
    {matrix_mutation::unresponsive_host_counts_as_terminated, "a silent host counts as gone for good"},
    {matrix_mutation::engine_accepts_stale_number, "the checking engine takes old fencing numbers"},
    {matrix_mutation::condition_ignored, "the condition of a configuration delta is overlooked"},
    {matrix_mutation::fence_ignored, "the fencing number of an intent is overlooked"},
    {matrix_mutation::snapshot_end_offset_too_high, "a snapshot claims one record more than it contains"},
}};

constexpr std::string_view column_pair = "with any second fault";
constexpr std::string_view column_twice = "the same twice";
constexpr const char* page_path = "docs/FAULT_MATRIX.md";

/// The result of one cell of the matrix, over all its runs.
struct matrix_cell {
    std::size_t runs{0};
    std::size_t reached{0};
    std::size_t blocked{0};
    std::set<std::string> broken;

    void add(const fault_schedule& schedule, matrix_mutation mutation) {
        matrix_simulation simulation(schedule, mutation);
        const check_result result = check_evidence(simulation.run());
        ++runs;
        reached += simulation.get_injector().get_occurrences() >= 2 ? 1 : 0;
        blocked += result.blocked.empty() ? 0 : 1;
        broken.insert(result.broken.begin(), result.broken.end());
    }

    [[nodiscard]] std::string get_text() const {
        if (runs == 0) {
            return "–";
        }
        if (!broken.empty()) {
            std::string text = "RED:";
            for (const std::string& invariant : broken) {
                text += " " + invariant;
            }
            return text;
        }
        return blocked == 0 ? "ok" : "ok, held " + std::to_string(blocked) + "/" + std::to_string(runs);
    }
};

bool is_applicable(const std::string& step, matrix_fault fault) {
    // A read cannot be duplicated in the log, and an order is written once to one connection.
    return fault != matrix_fault::duplicate || step.starts_with("append");
}

using matrix_row = std::map<std::string, matrix_cell>;

matrix_row run_single_faults(const std::string& step, matrix_mutation mutation) {
    matrix_row row;
    for (const matrix_fault fault : all_matrix_faults) {
        if (is_applicable(step, fault)) {
            row[std::string(matrix_fault_names.at(static_cast<std::size_t>(fault)))].add(
                {.step = step, .first = fault, .again = {}, .next = {}, .seed = {}}, mutation);
        }
    }
    return row;
}

matrix_row run_all_faults(const std::string& step) {
    matrix_row row = run_single_faults(step, matrix_mutation::none);
    for (const matrix_fault fault : all_matrix_faults) {
        if (!is_applicable(step, fault)) {
            continue;
        }
        row[std::string(column_twice)].add({.step = step, .first = fault, .again = fault, .next = {}, .seed = {}},
                                           matrix_mutation::none);
        for (const matrix_fault second : all_matrix_faults) {
            row[std::string(column_pair)].add({.step = step, .first = fault, .again = {}, .next = second, .seed = {}},
                                              matrix_mutation::none);
        }
    }
    return row;
}

/// Runs the steps in parallel. The runs are independent of each other, so their order does not matter.
template <typename Run>
std::map<std::string, matrix_row> run_rows(Run run) {
    std::map<std::string, std::future<matrix_row>> running;
    for (const std::string& step : steps) {
        running[step] = std::async(std::launch::async, run, step);
    }
    std::map<std::string, matrix_row> rows;
    for (auto& [step, row] : running) {
        rows[step] = row.get();
    }
    return rows;
}

const std::map<std::string, matrix_row>& get_matrix() {
    static const std::map<std::string, matrix_row> rows =
        run_rows([](const std::string& step) { return run_all_faults(step); });
    return rows;
}

/// The effect of one mutation.
struct mutation_result {
    /// Invariants that are violated without any fault.
    std::vector<std::string> broken_already;
    /// Failed cells with the invariants that they violate. Empty if some invariants are already violated without any
    /// fault.
    std::map<std::string, std::string> red;
};

mutation_result run_mutation(matrix_mutation mutation) {
    matrix_simulation undisturbed(std::nullopt, mutation);
    mutation_result result{.broken_already = check_evidence(undisturbed.run()).broken, .red = {}};
    if (!result.broken_already.empty()) {
        return result;
    }
    for (const auto& [step, row] :
         run_rows([mutation](const std::string& step) { return run_single_faults(step, mutation); })) {
        for (const auto& [fault, cell] : row) {
            if (!cell.broken.empty()) {
                result.red[step + " × " + fault] = cell.get_text().substr(std::string("RED: ").size());
            }
        }
    }
    return result;
}

using mutation_results = std::map<std::string, mutation_result>;

const mutation_results& get_mutation_results() {
    static const mutation_results all = [] {
        mutation_results results;
        for (const mutation_case& one : mutations) {
            results[std::string(one.name)] = run_mutation(one.mutation);
        }
        return results;
    }();
    return all;
}

std::string get_mutation_text(const mutation_result& result) {
    std::string text;
    for (const std::string& invariant : result.broken_already) {
        text += "- without any fault: " + invariant + "\n";
    }
    for (const auto& [cell, invariants] : result.red) {
        text += "- " + cell + ": " + invariants + "\n";
    }
    return text;
}

std::vector<std::string> get_columns() {
    std::vector<std::string> columns(matrix_fault_names.begin(), matrix_fault_names.end());
    columns.emplace_back(column_twice);
    columns.emplace_back(column_pair);
    return columns;
}

std::string get_page() {
    std::ostringstream page;
    page
        << "# Fault matrix\n\n"
           "Made by tests/coordination/test_fault_matrix.cpp; do not edit. To make it again:\n\n"
           "    WRITE_FAULT_MATRIX=1 build/bin/test_coordination --test-case='fault matrix*'\n\n"
           "Each cell is one run, or all runs of its column, of three hosts, two racing operators and three receivers "
           "over two virtual minutes. The fault hits the step's second occurrence. Each run has drifting clocks, a "
           "planned hand-over and a host that is replaced after the log has forgotten its beginning. The checker reads "
           "the log's bytes, what arrived at the receivers, what was put in force and what operators were told. "
           "\"ok\": every invariant holds. \"held n/m\": in n of m runs a receiver that ignores fencing numbers got no "
           "order near the end, since an older one could still arrive. \"–\": cannot happen.\n\n"
           "Invariants: every order has a valid intent (intent); no receiver goes back to an order it left (conflict); "
           "no engine goes over to an order of a superseded holder after one of its successor (superseded); the "
           "platform gets no order of an older holder after one of a newer (two in charge) and applies none twice "
           "(doubled); what is in force is what the log says and never reverts (configuration); operators are told the "
           "truth (operator); all processes end with the newest version (everywhere); the checking engine still gets "
           "orders at the end (progress).\n\n";
    page << "| step |";
    for (const std::string& column : get_columns()) {
        page << " " << column << " |";
    }
    page << "\n| --- |";
    for (std::size_t index = 0; index < get_columns().size(); ++index) {
        page << " --- |";
    }
    page << "\n";
    for (const std::string& step : steps) {
        page << "| " << step << " |";
        for (const std::string& column : get_columns()) {
            const matrix_row& row = get_matrix().at(step);
            const auto cell = row.find(column);
            page << " " << (cell == row.end() ? "–" : cell->second.get_text()) << " |";
        }
        page << "\n";
    }
    page << "\n## With one safeguard taken out\n\nThe same cells, single faults only, and which of them turn red.\n";
    for (const mutation_case& one : mutations) {
        page << "\n### If " << one.name << "\n\n"
             << get_mutation_text(get_mutation_results().at(std::string(one.name)));
    }
    return page.str();
}

std::string read_file(const char* path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("fault matrix: every invariant holds under every fault at every step") {
    for (const auto& [step, row] : get_matrix()) {
        for (const auto& [fault, cell] : row) {
            INFO(step, " × ", fault, ": ", cell.get_text());
            CHECK(cell.broken.empty());
            CHECK_MESSAGE(cell.reached == cell.runs, "the step did not occur in every run");
        }
    }
}

TEST_CASE("fault matrix: every invariant holds under six faults at random steps") {
    constexpr std::uint64_t seeds = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        matrix_simulation simulation(fault_schedule{.step = "", .first = {}, .again = {}, .next = {}, .seed = seed},
                                     matrix_mutation::none);
        const check_result result = check_evidence(simulation.run());
        INFO("seed ", seed);
        for (const std::string& invariant : result.broken) {
            FAIL_CHECK(invariant);
        }
    }
}

TEST_CASE("fault matrix: the checker detects each disabled safeguard") {
    for (const auto& [name, result] : get_mutation_results()) {
        INFO(name);
        CHECK_FALSE((result.broken_already.empty() && result.red.empty()));
    }
}

TEST_CASE("fault matrix: the documentation page matches this run") {
    const std::string page = get_page();
    if (std::getenv("WRITE_FAULT_MATRIX") != nullptr) { // NOLINT(concurrency-mt-unsafe)
        std::ofstream(page_path) << page;
    }
    CHECK(read_file(page_path) == page);
}
