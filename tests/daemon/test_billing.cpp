#include <doctest/doctest.h>

#include "core/json.hpp"
#include "support/small_deployment.hpp"

using namespace dragonflywell;
using dragonflywell::testing::small_deployment;
namespace http = boost::beast::http;

TEST_CASE("the usage of two hosts is reported to the platform exactly once when a response is lost") {
    small_deployment deployment(std::size_t{0});
    deployment.change("settings/billing", R"({"window_seconds":1})");
    deployment.add_host();
    deployment.add_host();
    deployment.reporting.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    for (std::size_t host = 0; host < 2; ++host) {
        CHECK(deployment.call(http::verb::get, "/maps/52N", "", "k1.secret", "", host).result_int() == 200);
    }
    std::uint64_t reported = 0;
    while (reported < 2) {
        reported = 0;
        for (const auto& [path, text] : deployment.reporting.handler.get_documents()) {
            const boost::json::value document = json::parse(text);
            for (const boost::json::value& line : json::get_array(document.as_object(), "lines")) {
                reported += json::get_unsigned(line.as_object(), "requests");
            }
        }
    }
    CHECK(reported == 2);
    CHECK(deployment.reporting.handler.get_conflicts() == 0);
}
