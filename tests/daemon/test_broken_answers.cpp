#include <atomic>
#include <doctest/doctest.h>
#include <thread>

#include "standin/raw_server.hpp"
#include "support/malformed_heads.hpp"
#include "support/small_deployment.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::standin::request_part;
using dragonflywell::testing::malformed_head;
using dragonflywell::testing::small_deployment;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr const char* key = "k1.secret";
constexpr unsigned bad_gateway = 502;
constexpr std::size_t upload_bytes = 900'000;
const std::string part_of_body = R"({"part":)";

/// A daemon by itself whose plain service and engine are one server that the test defines.
struct deployment_with_server {
    explicit deployment_with_server(const raw_server::behaviour& answer, request_part read_before_response)
        : server(
              loop,
              [this, answer](const servers::http_request& request, raw_connection& connection) {
                  ++arrived;
                  return answer(request, connection);
              },
              read_before_response),
          runner([this] { loop.run(); }) {
        const std::string address = format_endpoint(server.get_endpoint());
        deployment.change("backend_servers/s1",
                          fmt::format(R"({{"zone":"a","address":"{}","service":"app"}})", address));
        deployment.change("backend_servers/e1", fmt::format(R"({{"zone":"a","address":"{}","model":"m"}})", address));
        // The daemon reads the change of the engine after that of the service.
        while (arrived == 0) {
            static_cast<void>(complete("in"));
        }
    }
    deployment_with_server(const deployment_with_server&) = delete;
    deployment_with_server& operator=(const deployment_with_server&) = delete;
    deployment_with_server(deployment_with_server&&) = delete;
    deployment_with_server& operator=(deployment_with_server&&) = delete;
    ~deployment_with_server() {
        deployment.stop();
        loop.stop();
        runner.join();
    }

    /// Checks what callers of the service and of the model get.
    void check_no_answer(const std::string& text) {
        const http::response<http::string_body> plain =
            deployment.call(http::verb::post, "/subscriptions", "\"" + text + "\"", key);
        CHECK(plain.result_int() == bad_gateway);
        CHECK(plain.body().find(part_of_body) == std::string::npos);
        const http::response<http::string_body> generated = deployment.call(
            http::verb::post, "/v1/completions", R"({"model":"m","max_tokens":5,"prompt":")" + text + "\"}", key);
        CHECK(generated.result_int() == bad_gateway);
        CHECK(generated.body().find(part_of_body) == std::string::npos);
    }

    http::response<http::string_body> complete(const std::string& prompt) {
        return deployment.call(http::verb::post, "/v1/completions",
                               R"({"model":"m","max_tokens":5,"prompt":")" + prompt + "\"}", key);
    }

    small_deployment deployment;
    std::atomic<int> arrived{0};
    asio::io_context loop{1};
    raw_server server;
    std::thread runner;
};

} // namespace

TEST_CASE("a daemon by itself takes no part of a response, cut while the request is being written, for a whole one") {
    deployment_with_server serving(
        [](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + part_of_body);
            connection.reset();
        },
        request_part::head);
    serving.check_no_answer(std::string(upload_bytes, 'u'));
}

TEST_CASE("a daemon by itself takes no response whose status is none for an answer") {
    for (const malformed_head& head : testing::make_odd_statuses()) {
        CAPTURE(head.version + head.status);
        deployment_with_server serving(
            [head](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                co_await connection.write(head.encode(200, "Content-Type: application/json\r\n", part_of_body + "1}"));
                connection.close();
            },
            request_part::whole);
        serving.check_no_answer("in");
    }
}
