#include <doctest/doctest.h>

#include <random>

#include "coordination/report_history.hpp"
#include "coordination/report_simulation.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;
using namespace dragonflywell::testing;
using append_outcome = report_simulation::append_outcome;

namespace {

const organisation_name rovers("rovers");

/// Runs random events; returns the first violation.
std::optional<std::string> run_random_events(report_recovery recovery, unsigned seed) {
    std::mt19937 random(seed);
    const auto draw = [&](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    };
    report_simulation simulation(recovery);
    constexpr int events = 200;
    for (int event = 0; event < events && !simulation.get_violation(); ++event) {
        switch (draw(20)) {
        case 0:
            // Half of the returns also lose the lease.
            simulation.restore_older_copy(draw(4), draw(2) == 0);
            break;
        case 1:
            simulation.change_holder(draw(report_simulation::hosts));
            break;
        case 2:
            simulation.restart(draw(report_simulation::hosts));
            break;
        case 3:
        case 4:
            simulation.deliver_late();
            break;
        case 5:
        case 6:
        case 7:
            simulation.begin_window();
            break;
        case 8:
        case 9:
        case 10:
            simulation.step(static_cast<append_outcome>(draw(4)), draw(3));
            break;
        default:
            simulation.step(append_outcome::answered, draw(3));
            break;
        }
    }
    return simulation.get_violation();
}

std::optional<std::string> run_random_seeds(report_recovery recovery, unsigned seeds) {
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        if (std::optional<std::string> violation = run_random_events(recovery, seed)) {
            return "seed " + std::to_string(seed) + ": " + *violation;
        }
    }
    return std::nullopt;
}

window_usage make_usage(usage_window_number window, std::uint64_t count) {
    return {.window = window, .counts = {{rovers, count}}};
}

} // namespace

TEST_CASE("usage of a window is not reported with other figures after the store returns from an older copy") {
    const std::optional<std::string> violation = run_random_seeds(report_recovery::by_history, 6000);
    CHECK_MESSAGE(!violation, violation.value_or(""));
}

TEST_CASE("the check detects a reporter that continues from a state of an earlier era") {
    CHECK(run_random_seeds(report_recovery::none, 100).has_value());
}

TEST_CASE("a holder that keeps its lease over a new era stores its own figures again and skips no window") {
    report_simulation simulation(report_recovery::by_history);
    simulation.step(append_outcome::answered, 1);
    simulation.begin_window();
    simulation.step(append_outcome::answered, 0);
    simulation.restore_older_copy(2, true);
    simulation.begin_window();
    simulation.step(append_outcome::answered, 8);
    CHECK(simulation.get_reported().size() == 3);
    CHECK_FALSE(simulation.get_violation().has_value());
}

TEST_CASE("a new holder skips the windows that may have been reported, and sends figures that were final") {
    const report_history history;
    const report_state stored{.last = 8, .pending = {make_usage(7, 2), make_usage(8, 3)}, .era = 1, .settled = 7};
    const recovered_report_state recovered = history.recover(stored, {.term = 9, .era = 2, .newest_due = 10});
    CHECK(recovered.state == report_state{.last = 10, .pending = {make_usage(7, 2)}, .era = 2, .settled = 10});
    CHECK(recovered.skipped == std::vector<usage_window_number>{8, 9, 10});
}

TEST_CASE("a former holder sends again what it stored, and skips later windows") {
    report_history history;
    history.record({.last = 9, .pending = {make_usage(9, 4)}, .era = 1, .settled = 8}, 5);
    const report_state stored{.last = 8, .pending = {}, .era = 1, .settled = 7};
    const recovered_report_state recovered = history.recover(stored, {.term = 9, .era = 2, .newest_due = 10});
    CHECK(recovered.state == report_state{.last = 10, .pending = {make_usage(9, 4)}, .era = 2, .settled = 10});
    CHECK(recovered.skipped == std::vector<usage_window_number>{8, 10});
}
