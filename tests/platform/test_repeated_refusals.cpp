#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
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
