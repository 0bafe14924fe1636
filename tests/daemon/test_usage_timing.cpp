#include <doctest/doctest.h>

#include "daemon/usage_timing.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

TEST_CASE("usage is recorded by some host before its figures are finalized, however short the reporting time is") {
    for (const duration due : {duration(1s), duration(4s), duration(10s), duration(60s)}) {
        const daemon::usage_timing timing = daemon::make_usage_timing(due);
        CHECK(timing.group_record_delay < timing.fallback_record_delay);
        CHECK(timing.fallback_record_delay < timing.finalize_delay);
        CHECK(timing.finalize_delay < due / 2);
    }
}
