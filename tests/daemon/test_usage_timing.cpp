#include <doctest/doctest.h>

#include "daemon/usage_timing.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("usage is recorded by somebody before its figures are fixed, however short the time is") {
    for (const duration due : {duration(1s), duration(4s), duration(10s), duration(60s)}) {
        const daemon::usage_timing timing = daemon::make_usage_timing(due);
        CHECK(timing.gather < timing.patience);
        CHECK(timing.patience < timing.fix);
        CHECK(timing.fix < due / 2);
    }
}
