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

TEST_CASE("a demand report that lacks a figure is skipped and does not end the process that reads it") {
    testing::fake_log log;
    demand_exchange writer(log);
    demand_exchange reader(log);
    const std::string long_name(100, 'n');
    const policy::demand_report report{.host = host_name("h1"),
                                       .incarnation = 3,
                                       .start = wall_time(std::chrono::seconds(1000)),
                                       .length = std::chrono::seconds(5),
                                       .rows = {{.key = {.organisation = organisation_name(long_name),
                                                         .model = model_name(long_name),
                                                         .service = service_name(long_name)},
                                                 .arrivals = 1,
                                                 .prompt_tokens = 2,
                                                 .output_tokens = 3}}};
    CHECK(reader.fetch().empty());
    writer.publish(report);
    const std::string good = log.read(demand_stream, 0, 1).entries.at(0).data;
    for (const std::string field : {"arrivals", "prompt_tokens", "output_tokens", "organisation", "service"}) {
        std::string lacking = good;
        lacking.replace(lacking.find("\"" + field + "\""), field.size() + 2, "\"other\"");
        const std::array<std::string, 1> records{lacking};
        log.append(demand_stream, records);
    }
    writer.publish(report);
    CHECK(reader.fetch().size() == 2);
}
