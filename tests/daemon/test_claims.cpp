#include <doctest/doctest.h>

#include <future>

#include "core/json.hpp"
#include "support/small_deployment.hpp"

using namespace dragonflywell;
using dragonflywell::testing::small_deployment;
namespace http = boost::beast::http;

namespace {

constexpr const char* good_key = "k1.secret";

http::response<http::string_body> subscribe(small_deployment& deployment, const std::string& idempotency_key,
                                            std::size_t host, const std::string& body = "{}") {
    return deployment.call(http::verb::post, "/subscriptions", body, good_key, idempotency_key, host);
}

std::string get_code(const http::response<http::string_body>& response) {
    const boost::json::value document = json::parse(response.body());
    return json::get_string(json::get_object(document.as_object(), "error"), "code");
}

} // namespace

TEST_CASE("a subscription that is sent to two hosts concurrently runs once") {
    small_deployment deployment(std::size_t{2});
    auto first = std::async(std::launch::async, [&] { return subscribe(deployment, "s-1", 0); });
    const auto second = subscribe(deployment, "s-1", 1);
    const auto other = first.get();
    CHECK(deployment.service.handler.get_runs() == 1);
    CHECK((second.result_int() == 200 || other.result_int() == 200));
    for (const auto& answer : {second, other}) {
        CAPTURE(answer.body());
        CHECK((answer.result_int() == 200 || get_code(answer) == "duplicate_running"));
    }
}

TEST_CASE("a later duplicate at another host gets the recorded response and does not run again") {
    small_deployment deployment(std::size_t{2});
    const auto first = subscribe(deployment, "s-1", 0);
    CHECK(first.result_int() == 200);
    auto second = subscribe(deployment, "s-1", 1);
    while (second.result_int() == 409 && get_code(second) == "duplicate_running") {
        second = subscribe(deployment, "s-1", 1);
    }
    CHECK(second.result_int() == 200);
    CHECK(second.body() == first.body());
    CHECK(second["x-dragonflywell-replayed"] == "true");
    CHECK(get_code(subscribe(deployment, "s-1", 0, "{\"other\":1}")) == "idempotency_key_reused");
    CHECK(deployment.service.handler.get_runs() == 1);
}

TEST_CASE("a subscription whose response was lost has an unknown outcome at every host and does not run again") {
    small_deployment deployment(std::size_t{2});
    deployment.service.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    CHECK(subscribe(deployment, "s-1", 0)["x-dragonflywell-outcome"] == "unknown");
    auto second = subscribe(deployment, "s-1", 1);
    while (get_code(second) == "duplicate_running") {
        second = subscribe(deployment, "s-1", 1);
    }
    CHECK(get_code(second) == "duplicate_unknown");
    CHECK(second["x-dragonflywell-outcome"] == "unknown");
    CHECK(deployment.service.handler.get_runs() == 1);
}

TEST_CASE("a request that is refused before it was sent releases its idempotency key for another host") {
    small_deployment deployment(std::size_t{2});
    deployment.change("backend_servers/s1", "");
    while (deployment.call(http::verb::get, "/maps/52N", "", good_key).result_int() == 200) {
    }
    const auto refused = subscribe(deployment, "s-1", 0);
    CHECK(refused["x-dragonflywell-outcome"] == "not_run");
    const std::uint64_t runs_before = deployment.service.handler.get_runs();
    deployment.change("backend_servers/s1", "{\"zone\":\"a\",\"address\":\"" +
                                                format_endpoint(deployment.service.get_endpoint()) +
                                                "\",\"service\":\"app\"}");
    auto again = subscribe(deployment, "s-1", 1);
    while (again.result_int() != 200) {
        again = subscribe(deployment, "s-1", 1);
    }
    CHECK(deployment.service.handler.get_runs() == runs_before + 1);
}

TEST_CASE("while the log is down a keyed call is refused as not run and one without a key runs once") {
    small_deployment deployment;
    deployment.platform.faults.set_plan({.kind = standin::fault_kind::refuse, .count = 1000000});
    const auto keyed = subscribe(deployment, "s-1", 0);
    CHECK(get_code(keyed) == "log_unavailable");
    CHECK(keyed["x-dragonflywell-outcome"] == "not_run");
    CHECK(deployment.service.handler.get_runs() == 0);
    CHECK(subscribe(deployment, "", 0).result_int() == 200);
    CHECK(deployment.service.handler.get_runs() == 1);
    deployment.platform.faults.set_plan({});
    while (subscribe(deployment, "s-1", 0).result_int() != 200) {
    }
    CHECK(deployment.service.handler.get_runs() == 2);
}

TEST_CASE("appends to the log whose responses are lost neither lose nor repeat a request with an idempotency key") {
    small_deployment deployment(std::size_t{2});
    deployment.platform.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 6});
    while (subscribe(deployment, "s-1", 0).result_int() != 200) {
    }
    while (subscribe(deployment, "s-1", 1).result_int() != 200) {
    }
    CHECK(deployment.service.handler.get_runs() == 1);
}
