#include <doctest/doctest.h>

#include <array>

#include "support/small_deployment.hpp"

using namespace dragonflywell;
using dragonflywell::testing::small_deployment;
using standin::engine_fault_kind;
namespace http = boost::beast::http;

namespace {

constexpr const char* key = "k1.secret";
constexpr const char* short_progress_timeout = "[stop]\nnotice_ms = 0\n[request]\nprogress_deadline_ms = 100\n";

std::string get_expected_text(std::uint64_t tokens) {
    std::string text;
    for (std::uint64_t position = 0; position < tokens; ++position) {
        text += standin::get_generated_text("storm", position);
    }
    return text;
}

http::response<http::string_body> ask(small_deployment& deployment) {
    return deployment.call(http::verb::post, "/v1/completions", R"({"model":"m","prompt":"storm","max_tokens":5})",
                           key);
}

bool has_whole_answer(const http::response<http::string_body>& response) {
    return response.result_int() == 200 &&
           response.body().find("\"text\":\"" + get_expected_text(5) + "\"") != std::string::npos;
}

/// Waits for a metric, since requests are counted just after the last byte of a response is written.
void wait_for_metric(const small_deployment& deployment, const std::string& line) {
    deployment.wait_for_metric(line);
}

} // namespace

TEST_CASE("the caller gets the complete response to its own request despite faulty event streams of the engine") {
    struct faulty_case {
        engine_fault_kind kind;
        std::string counted;
    };
    const std::array<faulty_case, 6> cases{{
        {engine_fault_kind::disconnect, "dragonflywell_retries_total{reason=\"broken_answer\"} 2"},
        {engine_fault_kind::malformed_event, "dragonflywell_retries_total{reason=\"malformed_answer\"} 1"},
        {engine_fault_kind::wrong_stream, "dragonflywell_retries_total{reason=\"crossed_answer\"} 1"},
        {engine_fault_kind::missing_token, "dragonflywell_retries_total{reason=\"malformed_answer\"} 1"},
        {engine_fault_kind::duplicate_token, "dragonflywell_requests_total{outcome=\"completed\"} 1"},
        {engine_fault_kind::extra_tokens, "dragonflywell_requests_total{outcome=\"completed\"} 1"},
    }};
    for (const faulty_case& item : cases) {
        CAPTURE(item.counted);
        small_deployment deployment;
        deployment.engine.handler.set_fault({.kind = item.kind, .after_tokens = 2});
        CHECK(has_whole_answer(ask(deployment)));
        wait_for_metric(deployment, item.counted);
    }
}

TEST_CASE("a stream whose connection hangs is resumed at the same position over a new connection") {
    small_deployment deployment(short_progress_timeout);
    deployment.engine.handler.set_fault({.kind = engine_fault_kind::hang, .after_tokens = 2});
    CHECK(has_whole_answer(ask(deployment)));
    CHECK(deployment.engine.handler.get_starts() == 1);
    CHECK(deployment.engine.handler.get_resumptions() == 1);
}

TEST_CASE("a request that an engine rejects as invalid is not retried, and the engine's response goes to the caller") {
    small_deployment deployment;
    deployment.engine.handler.set_fault({.kind = engine_fault_kind::reject, .count = 1});
    const auto response = ask(deployment);
    CHECK(response.result_int() == 422);
    CHECK(response.body().find("refused as planned") != std::string::npos);
    wait_for_metric(deployment, "requests_total{outcome=\"completed\"} 1");
    CHECK(deployment.get_metrics().find("retries_total{reason=\"broken_answer\"} 0") != std::string::npos);
}

TEST_CASE("a retry after a busy engine is counted under its own reason") {
    small_deployment deployment;
    deployment.engine.handler.set_fault({.kind = engine_fault_kind::busy, .count = 1});
    CHECK(has_whole_answer(ask(deployment)));
    wait_for_metric(deployment, "retries_total{reason=\"backend_server_busy\"} 1");
}

TEST_CASE("only responses that the caller received are billed") {
    small_deployment deployment;
    deployment.engine.handler.set_fault({.kind = engine_fault_kind::malformed_event, .after_tokens = 1, .count = 3});
    CHECK(ask(deployment).result_int() == 502);
    CHECK(deployment.get_usage().empty());
    CHECK(has_whole_answer(ask(deployment)));
    // The usage is counted just after the last byte is written.
    while (deployment.get_usage().empty()) {
        std::this_thread::yield();
    }
    const coordination::usage_table usage = deployment.get_usage();
    REQUIRE(usage.size() == 1);
    CHECK(usage.begin()->second.requests == 1);
    CHECK(usage.begin()->second.completion_tokens == 5);
}

TEST_CASE("the deadline of a request applies even while the engine makes progress") {
    small_deployment deployment("[stop]\nnotice_ms = 0\n[request]\ndeadline_ms = 100\n");
    const auto response = deployment.call(http::verb::post, "/v1/completions",
                                          R"({"model":"m","prompt":"storm","max_tokens":1000000})", key);
    CHECK(response.result_int() == 504);
    CHECK(response["x-dragonflywell-outcome"] == "failed_after_start");
}

TEST_CASE("the request is cancelled on the engine when the caller disconnects") {
    small_deployment deployment;
    deployment.call_and_leave("/v1/completions", R"({"model":"m","prompt":"storm","max_tokens":1000000})", key,
                              [&] { return deployment.engine.handler.get_running() == 1; });
    while (deployment.engine.handler.get_cancelled() == 0 || deployment.engine.handler.get_running() > 0) {
        std::this_thread::yield();
    }
    CHECK(deployment.get_usage().empty());
}

TEST_CASE("a refused request is reported as not run only if no byte was sent to a backend server") {
    small_deployment deployment;
    deployment.service.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 3});
    const auto written = deployment.call(http::verb::get, "/maps/1", "", key);
    CHECK(written["x-dragonflywell-outcome"] == "failed_after_start");
    const auto unwritten = deployment.call(http::verb::get, "/unreachable/1", "", key);
    CHECK(unwritten.result_int() == 502);
    CHECK(unwritten["x-dragonflywell-outcome"] == "not_run");
}

TEST_CASE("during a graceful stop, a keep-alive connection is still served and is then closed") {
    small_deployment deployment("[stop]\nnotice_ms = 600000\n");
    boost::asio::io_context context;
    boost::beast::tcp_stream stream = deployment.connect(context);
    CHECK(deployment.exchange(stream, http::verb::get, "/maps/1", "", key).keep_alive());
    std::thread stopping([&] { deployment.stop(); });
    while (deployment.is_ready()) {
        std::this_thread::yield();
    }
    const auto response = deployment.exchange(stream, http::verb::get, "/maps/2", "", key);
    CHECK(response.result_int() == 200);
    CHECK_FALSE(response.keep_alive());
    deployment.end_notice();
    stopping.join();
}

TEST_CASE("a request becomes a crash suspect when its engine crashes, but not when only its connection breaks") {
    small_deployment deployment;
    deployment.engine.handler.set_fault({.kind = engine_fault_kind::disconnect, .after_tokens = 2});
    CHECK(has_whole_answer(ask(deployment)));
    wait_for_metric(deployment, "dragonflywell_suspect_requests_total 0");
    deployment.engine.handler.set_on_crash([&] { deployment.engine.stop_listening(); });
    deployment.engine.handler.set_fault({.kind = engine_fault_kind::crash, .after_tokens = 2});
    CHECK(ask(deployment)["x-dragonflywell-outcome"] == "failed_after_start");
    wait_for_metric(deployment, "dragonflywell_suspect_requests_total 1");
}

// Guards against a crash that is not noticed because the probe reaches a listener that is about to close.
TEST_CASE("a request becomes a crash suspect also when its engine still accepts a connection after the crash") {
    small_deployment deployment;
    deployment.engine.handler.set_on_crash([] {});
    deployment.engine.handler.set_fault({.kind = engine_fault_kind::crash, .after_tokens = 2});
    CHECK(ask(deployment)["x-dragonflywell-outcome"] == "failed_after_start");
    wait_for_metric(deployment, "dragonflywell_suspect_requests_total 1");
}
