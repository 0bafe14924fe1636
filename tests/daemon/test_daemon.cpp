#include <doctest/doctest.h>

#include <array>

#include "support/small_deployment.hpp"

using namespace dragonflywell;
using dragonflywell::testing::small_deployment;
namespace http = boost::beast::http;

namespace {

constexpr const char* good_key = "k1.secret";

} // namespace

TEST_CASE("a model request gets a complete response, and its API key is not forwarded to the engine") {
    small_deployment deployment;
    const auto response = deployment.call(http::verb::post, "/v1/completions",
                                          R"({"model":"m","prompt":"storm","max_tokens":5})", good_key);
    CHECK(response.result_int() == 200);
    std::string expected;
    for (std::uint64_t position = 0; position < 5; ++position) {
        expected += standin::get_generated_text("storm", position);
    }
    CHECK(response.body().find("\"text\":\"" + expected + "\"") != std::string::npos);
    CHECK(deployment.engine.handler.get_authorization_headers_seen() == 0);
}

TEST_CASE("a response that is interrupted is resumed without missing or repeated tokens") {
    small_deployment deployment;
    deployment.engine.handler.set_break_after(2);
    const auto response = deployment.call(http::verb::post, "/v1/completions",
                                          R"({"model":"m","prompt":"storm","max_tokens":5})", good_key);
    std::string expected;
    for (std::uint64_t position = 0; position < 5; ++position) {
        expected += standin::get_generated_text("storm", position);
    }
    CHECK(response.body().find("\"text\":\"" + expected + "\"") != std::string::npos);
}

TEST_CASE("a request that must not be retried runs once when its response is lost") {
    small_deployment deployment;
    deployment.service.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    const auto response = deployment.call(http::verb::post, "/subscriptions", "{}", good_key);
    CHECK(response.result_int() == 502);
    CHECK(response["x-dragonflywell-outcome"] == "unknown");
    CHECK(deployment.service.handler.get_runs() == 1);
}

TEST_CASE("an idempotent request whose response is lost is retried") {
    small_deployment deployment;
    deployment.service.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    const auto response = deployment.call(http::verb::get, "/maps/52N", "", good_key);
    CHECK(response.result_int() == 200);
    CHECK(deployment.service.handler.get_runs() == 2);
    CHECK(deployment.service.handler.get_authorization_headers_seen() == 0);
}

TEST_CASE("an invalid request is refused with a specific error code and is not sent to a backend server") {
    struct refused_case {
        http::verb method;
        std::string target;
        std::string body;
        std::string key;
        unsigned status;
        std::string code;
    };
    const std::array<refused_case, 8> cases{{
        {http::verb::get, "/maps/1", "", "", 401, "missing_key"},
        {http::verb::get, "/maps/1", "", "k1.wrong", 401, "unknown_key"},
        {http::verb::get, "/none", "", good_key, 404, "no_such_route"},
        {http::verb::delete_, "/maps/1", "", good_key, 405, "method_not_allowed"},
        {http::verb::post, "/v1/completions", "{", good_key, 400, "malformed_request"},
        {http::verb::post, "/v1/completions", R"({"model":"m"})", good_key, 400, "malformed_request"},
        {http::verb::post, "/v1/completions", R"({"model":"x","prompt":"p"})", good_key, 404, "unknown_model"},
        {http::verb::get, "/mapsandmore", "", good_key, 404, "no_such_route"},
    }};
    small_deployment deployment;
    for (const refused_case& item : cases) {
        CAPTURE(item.target);
        const auto response = deployment.call(item.method, item.target, item.body, item.key);
        CHECK(response.result_int() == item.status);
        CHECK(response.body().find("\"code\":\"" + item.code + "\"") != std::string::npos);
        CHECK(response["x-dragonflywell-outcome"] == "not_run");
    }
    CHECK(deployment.service.handler.get_runs() == 0);
}

TEST_CASE("a public route needs no API key") {
    small_deployment deployment;
    CHECK(deployment.call(http::verb::get, "/public/status", "", "").result_int() == 200);
}
