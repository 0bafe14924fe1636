#include <doctest/doctest.h>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;

TEST_CASE_FIXTURE(serving_fixture, "when the last organisation is removed, no key is valid any more") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "hello"));
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    view.version = 2;
    view.organisations.clear();
    configure();
    auto headers = get_headers();
    CHECK(ask(http::verb::get, "/safe/x", "", headers).status == 401);
    headers.back().second = "never a key";
    CHECK(ask(http::verb::get, "/safe/x", "", headers).status == 401);
    headers.pop_back();
    CHECK(ask(http::verb::get, "/safe/x", "", headers).status == 401);
    CHECK(server.get_requests().size() == 1);
    CHECK(ask(http::verb::get, "/open/x", "", headers).status == 200);
}

TEST_CASE_FIXTURE(serving_fixture, "a configuration that needs no keys serves requests with any key and without one") {
    view.requires_keys = false;
    view.organisations.clear();
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "hello"));
    auto headers = get_headers();
    CHECK(ask(http::verb::get, "/safe/x", "", headers).status == 200);
    headers.pop_back();
    CHECK(ask(http::verb::get, "/safe/x", "", headers).status == 200);
    const servers::http_request& forwarded = server.get_requests().back();
    CHECK(forwarded.find("Dragonflywell-Tenant") == forwarded.end());
}
