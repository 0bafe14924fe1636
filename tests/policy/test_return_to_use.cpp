#include <doctest/doctest.h>

#include "support/store_users_model.hpp"

using namespace dragonflywell;
using testing::network_fault;
using testing::store_users_model;
using testing::store_users_options;
using namespace std::chrono_literals;

namespace {

/// Time after the recovery of the connection to the store within which the documented staleness bounds hold again.
constexpr duration contact_bound = 3s;
/// Share of it that is left for reading, decoding and late timers.
constexpr duration margin = 500ms;
constexpr double max_calls_per_second = 2;
constexpr std::uint64_t seeds = 100;

struct worst_case {
    duration recovery_time{};
    double calls_per_second{};
};

worst_case play(const store_users_options& options) {
    worst_case worst;
    std::uint64_t calls = 0;
    duration fault{};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const testing::store_users_result result = store_users_model(seed, options).run();
        worst.recovery_time = std::max(worst.recovery_time, result.recovery_time);
        calls += result.calls_during_fault;
        fault += result.fault;
    }
    worst.calls_per_second = static_cast<double>(calls) / std::chrono::duration<double>(fault).count();
    return worst;
}

} // namespace

TEST_CASE("all users of the store read again in time after its connection recovers") {
    for (const network_fault fault :
         {network_fault::silent, network_fault::refused, network_fault::mixed, network_fault::slow}) {
        for (const bool needs_two_calls : {false, true}) {
            const worst_case worst = play({.fault = fault, .needs_two_calls = needs_two_calls});
            CAPTURE(static_cast<int>(fault));
            CAPTURE(needs_two_calls);
            MESSAGE("longest recovery time " << std::chrono::duration<double>(worst.recovery_time).count() << " s, "
                                             << worst.calls_per_second << " calls a second");
            CHECK(worst.recovery_time <= contact_bound - margin);
            CHECK(worst.calls_per_second <= max_calls_per_second);
        }
    }
}

TEST_CASE("no user starves while the connection keeps losing calls") {
    const worst_case worst = play({.fault = network_fault::lossy});
    MESSAGE("longest recovery time " << std::chrono::duration<double>(worst.recovery_time).count() << " s");
    CHECK(worst.recovery_time < 20s);
}

TEST_CASE("the steps from the recovery of the store to its first use take less than the bound in total") {
    constexpr duration call_limit = 700ms;
    const duration first_answer = policy::circuit_breaker::get_max_recovery_time({}, call_limit);
    // One more call at its limit: a listing that is needed after history was dropped takes a second page.
    CHECK(first_answer + call_limit <= contact_bound - margin);
}
