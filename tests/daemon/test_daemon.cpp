#include <doctest/doctest.h>

#include <array>
#include <fmt/format.h>

#include "core/hash.hpp"
#include "daemon/daemon.hpp"
#include "fleet/manifest.hpp"
#include "platform/blocking_http_client.hpp"
#include "standin/engine_standin.hpp"
#include "standin/platform_standin.hpp"
#include "standin/service_standin.hpp"
#include "support/running_standin.hpp"

using namespace dragonflywell;
namespace http = boost::beast::http;

namespace {

/// A platform, an engine, a plain service and one daemon, all on free ports.
class small_deployment {
public:
    small_deployment() : m_log({.server = m_platform.get_endpoint()}), m_daemon(make_settings()) {
        publish(make_entries());
        m_daemon.start();
        while (!m_daemon.is_ready()) {
            std::this_thread::yield();
        }
    }

    http::response<http::string_body> call(http::verb method, const std::string& target, const std::string& body,
                                           const std::string& key) {
        boost::asio::io_context context;
        boost::beast::tcp_stream stream(context);
        stream.connect({boost::asio::ip::make_address("127.0.0.1"), m_daemon.get_caller_port()});
        http::request<http::string_body> request(method, target, 11);
        request.set(http::field::host, "localhost");
        if (!key.empty()) {
            request.set(http::field::authorization, "Bearer " + key);
        }
        request.body() = body;
        request.prepare_payload();
        http::write(stream, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(stream, buffer, response);
        return response;
    }

    testing::running_standin<standin::engine_standin> engine{
        standin::engine_standin_options{.model = "m", .generated_token_time = std::chrono::microseconds(100)}};
    testing::running_standin<standin::service_standin> service;

private:
    daemon::daemon_settings make_settings() {
        return daemon::parse_daemon_settings(
            fmt::format("[host]\nname = \"h1\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n"
                        "operators = \"127.0.0.1:0\"\n[platform]\nlog = \"{}\"\n[configuration]\npoll_ms = 10\n"
                        "[log]\nlevel = \"error\"\n",
                        format_endpoint(m_platform.get_endpoint())),
            "test.toml");
    }

    [[nodiscard]] fleet::manifest_entries make_entries() const {
        return fleet::get_manifest_entries(fmt::format(
            R"({{"zones":{{"a":{{"region":"r"}}}},"organisations":{{"rovers":{{}}}},
                "keys":{{"k1":{{"organisation":"rovers","salt":"s","sha256":"{}"}}}},"models":{{"m":{{"version":"1"}}}},
                "routes":{{"r1":{{"service":"app","path_prefix":"/maps","methods":["GET"],"idempotent":true}},
                           "r2":{{"service":"app","path_prefix":"/subscriptions","methods":["POST"]}},
                           "r3":{{"service":"app","path_prefix":"/public","methods":["GET"],"open":true}}}},
                "backend_servers":{{"e1":{{"zone":"a","address":"{}","model":"m"}},
                                    "s1":{{"zone":"a","address":"{}","service":"app"}}}}}})",
            get_sha256_hex("ssecret"), format_endpoint(engine.get_endpoint()),
            format_endpoint(service.get_endpoint())));
    }

    void publish(const fleet::manifest_entries& entries) {
        coordination::folded_stream stream(m_log, std::string(coordination::configuration_stream),
                                           {.host = "operator", .incarnation = 1});
        coordination::publish_configuration(stream, {.set = entries, .removed = {}}, {});
    }

    testing::running_standin<standin::platform_standin> m_platform;
    platform::http_log m_log;
    daemon::daemon m_daemon;
};

constexpr const char* good_key = "k1.secret";

} // namespace

TEST_CASE("a model request is answered whole and its key reaches no engine") {
    small_deployment deployment;
    const auto response = deployment.call(http::verb::post, "/v1/completions",
                                          R"({"model":"m","prompt":"storm","max_tokens":5})", good_key);
    CHECK(response.result_int() == 200);
    std::string expected;
    for (std::uint64_t position = 0; position < 5; ++position) {
        expected += standin::get_generated_text("storm", position);
    }
    CHECK(response.body().find("\"text\":\"" + expected + "\"") != std::string::npos);
    CHECK(deployment.engine.handler.get_keys_seen() == 0);
}

TEST_CASE("an answer that breaks off is completed without a gap or a repetition") {
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

TEST_CASE("a request that must not be repeated runs once when its answer is lost") {
    small_deployment deployment;
    deployment.service.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    const auto response = deployment.call(http::verb::post, "/subscriptions", "{}", good_key);
    CHECK(response.result_int() == 502);
    CHECK(response["x-dragonflywell-outcome"] == "unknown");
    CHECK(deployment.service.handler.get_runs() == 1);
}

TEST_CASE("an idempotent request whose answer is lost is sent again") {
    small_deployment deployment;
    deployment.service.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    const auto response = deployment.call(http::verb::get, "/maps/52N", "", good_key);
    CHECK(response.result_int() == 200);
    CHECK(deployment.service.handler.get_runs() == 2);
    CHECK(deployment.service.handler.get_keys_seen() == 0);
}

TEST_CASE("bad input is refused with a typed error and runs nowhere") {
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

TEST_CASE("an open route needs no key") {
    small_deployment deployment;
    CHECK(deployment.call(http::verb::get, "/public/status", "", "").result_int() == 200);
}
