#include <doctest/doctest.h>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;

// Guards against review case 4: such a status reached the caller as 000.
TEST_CASE_FIXTURE(serving_fixture, "a status that the HTTP library has no name for reaches the caller unchanged") {
    configure();
    raw_server& server = add_server("s1", {}, reset());
    for (const unsigned status : {299U, 399U, 420U, 425U, 498U, 509U, 529U, 599U, 600U, 999U}) {
        CAPTURE(status);
        server.set_behaviour(answer_with(status, "own words"));
        const answer got = ask(http::verb::post, "/unsafe/x", "{}");
        CHECK(got.status == status);
        CHECK(got.reason == "X");
        CHECK(got.body == "own words");
        CHECK(got.headers.at("Dragonflywell-Server-Seal") == "seal");
    }
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a failure whose status the HTTP library has no name for is retried like any other") {
    configure();
    add_server("s1", {}, answer_with(529, "bad"));
    const raw_server& second = add_server("s2", {}, answer_with(200, "good"));
    set_other_in_flight("s2", 3);
    CHECK(ask(http::verb::get, "/safe/x").body == "good");
    CHECK(second.get_requests().size() == 1);
}
