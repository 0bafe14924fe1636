#include <doctest/doctest.h>

#include <array>

#include "daemon/demand_exchange.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::daemon;

TEST_CASE("a host receives the reports of others from its own start on, and skips malformed records") {
    testing::fake_log log;
    demand_exchange writer(log);
    demand_exchange reader(log);
    const policy::demand_report report{
        .host = host_name("h1"),
        .incarnation = 3,
        .start = wall_time(std::chrono::seconds(1000)),
        .length = std::chrono::seconds(5),
        .rows = {{.key = {.organisation = organisation_name("o"), .model = model_name("m"), .service = {}},
                  .arrivals = 1,
                  .prompt_tokens = 2,
                  .output_tokens = 3}}};
    writer.publish(report);
    CHECK(reader.fetch().empty());
    const std::array<std::string, 1> malformed{"{"};
    log.append(demand_stream, malformed);
    writer.publish(report);
    CHECK(reader.fetch() == std::vector<policy::demand_report>{report});
    CHECK(reader.fetch().empty());
    log.is_down = true;
    CHECK_THROWS_AS(static_cast<void>(reader.fetch()), coordination::log_unavailable_error);
}
