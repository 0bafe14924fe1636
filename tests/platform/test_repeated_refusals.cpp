#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "platform/engine_order_client.hpp"
#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace asio = boost::asio;
namespace http = servers::http;

TEST_CASE_FIXTURE(serving_fixture,
                  "a refusal that a server repeats on its connection does not make a request run twice") {
    configure();
    std::map<const raw_connection*, int> requests;
    int runs = 0;
    add_server("s1", {},
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   const bool is_first_request = requests.empty();
                   if (is_first_request || ++requests[&connection] > 1) {
                       co_await connection.write(make_not_run(request));
                   }
                   requests[&connection] = std::max(requests[&connection], 1);
                   if (!is_first_request) {
                       ++runs;
                       co_await connection.write(make_answer(request, 200, "ran"));
                   }
               });
    const answer got = ask(http::verb::post, "/unsafe/x", "{}");
    CHECK(got.status == 200);
    CHECK(runs == 1);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a refusal without a request's id on a kept connection does not prove that the request has not run") {
    configure();
    add_server("s1", {}, answer_with(200, "ok"));
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    added["s1"]->set_behaviour(
        [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.write("HTTP/1.1 503 X\r\nDragonflywell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" +
                                      make_answer(request, 200, "ran"));
        });
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 502);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a refusal that a server repeats under the name of its next run does not make a request run twice") {
    configure();
    std::map<const raw_connection*, int> requests;
    int runs = 0;
    std::string refusal;
    raw_server::behaviour run = answer_with(200, "ran");
    // The list shows the new name of the process at the address only when the old one has been refused.
    const auto restarted = [&](const servers::http_request& request,
                               raw_connection& connection) -> asio::awaitable<void> {
        const int earlier = requests[&connection]++;
        if (request["Dragonflywell-Expect-Instance"] == "old") {
            refusal =
                "HTTP/1.1 421 X\r\nDragonflywell-Attempt-Id: " + get_id(request) + "\r\nContent-Length: 0\r\n\r\n";
            add_name("new", "old");
            co_await connection.write(refusal);
            co_return;
        }
        if (earlier > 0) {
            co_await connection.write(refusal);
        }
        ++runs;
        co_await run(request, connection);
    };
    const auto other = [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        ++runs;
        co_await run(request, connection);
    };
    answer got;
    SUBCASE("a plain request") {
        add_server("old", {}, restarted);
        add_server("third", {}, other);
        set_other_in_flight({{"new", 1}, {"third", 3}});
        got = ask(http::verb::post, "/unsafe/x", "{}");
        CHECK(got.body == "ran");
        CHECK(added.at("third")->get_requests().empty());
    }
    SUBCASE("a stream that may not be resumed") {
        run = stream_events(1, 2);
        add_server("old", fleet::engine_stage::decode, restarted);
        got = generate("/gen/x");
        CHECK(got.body == make_event(1) + make_event(2));
    }
    CHECK(got.status == 200);
    CHECK(runs == 1);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a refusal that a server repeats does not refuse a later request with the same id that has run") {
    configure();
    std::map<const raw_connection*, int> requests;
    int runs = 0;
    bool is_full = true;
    add_server("s1", {},
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   if (is_full || requests[&connection] > 0) {
                       co_await connection.write(make_not_run(request));
                   }
                   ++requests[&connection];
                   if (!is_full) {
                       ++runs;
                       co_await connection.write(make_answer(request, 200, "ran"));
                   }
               });
    CHECK(ask(http::verb::post, "/unsafe/x", "{}", get_headers()).status == 503);
    state.health.forget(backend_server_name("s1"));
    is_full = false;
    CHECK(ask(http::verb::post, "/unsafe/x", "{}", get_headers()).status == 200);
    CHECK(runs == 1);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a refusal that a server repeats is not taken for the result of an order that it accepted") {
    configure();
    std::map<const raw_connection*, std::string> refusals;
    bool is_busy = true;
    bool has_ids = true;
    const raw_server& server =
        add_server("s1", fleet::engine_stage::decode,
                   [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                       std::string& refusal = refusals[&connection];
                       if (is_busy) {
                           const std::string unnamed =
                               "HTTP/1.1 503 X\r\nDragonflywell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                           const bool is_order = get_id(request).empty();
                           const std::string of_request = has_ids ? make_not_run(request) : unnamed;
                           refusal = is_order ? "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n" : of_request;
                           co_await connection.write(refusal);
                           co_return;
                       }
                       std::string bytes = refusal + "HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n";
                       co_await connection.write(std::move(bytes));
                   });
    platform::engine_order_client orders(pool, metrics, {.timeout = std::chrono::seconds(60)});
    const auto order = [&] {
        platform::engine_order_result result{};
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            const platform::duty_credentials credentials{.holder = "h", .fence = 1, .may_act = {}};
            const platform::engine_address engine{.name = backend_server_name("s1"), .address = server.get_endpoint()};
            result = co_await orders.order_stage_change(credentials, engine, fleet::engine_stage::prefill, 0);
        });
        return result;
    };
    SUBCASE("the refusal of a request") {
        CHECK(generate("/gen/x").status == 503);
    }
    SUBCASE("the refusal of a request that it does not name") {
        has_ids = false;
        CHECK(generate("/gen/x").status == 503);
    }
    SUBCASE("the refusal of an earlier order") {
        CHECK(order() == platform::engine_order_result::busy);
    }
    is_busy = false;
    CHECK(order() == platform::engine_order_result::accepted);
}
