#include <doctest/doctest.h>

#include "platform/http_usage_reporting.hpp"
#include "standin/platform_standin.hpp"
#include "support/running_standin.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

order make_report(std::uint64_t tokens) {
    return {.subject = "usage/report",
            .kind = "usage.report",
            .body = {{"window", 1}, {"lines", {{{"completion_tokens", tokens}}}}},
            .idempotency_key = "usage-1",
            .duplicates = duplicate_handling::deduplicated};
}

const fencing_token token{.scope = "reporting", .number = 4};
constexpr std::chrono::seconds deadline{1};

} // namespace

TEST_CASE(
    "a report whose response was lost is found by a query, and a report with other figures under its key is not") {
    testing::running_standin<standin::platform_standin> platform;
    platform::http_usage_reporting reporting({.server = platform.get_endpoint()});
    CHECK(reporting.query(make_report(3)) == order_query_result::not_seen);
    platform.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    CHECK(reporting.send(make_report(3), token, deadline) == order_reply::unknown);
    CHECK(reporting.query(make_report(3)) == order_query_result::applied);
    CHECK(reporting.send(make_report(3), token, deadline) == order_reply::applied);
    CHECK(platform.handler.get_conflicts() == 0);
    CHECK(reporting.send(make_report(4), token, deadline) == order_reply::unknown);
    CHECK(reporting.query(make_report(4)) == order_query_result::unknown);
    CHECK(platform.handler.get_conflicts() == 1);
}
