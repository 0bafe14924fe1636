#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

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

// Guards against review case 1: the body of the refusal stood where the response to the next request was due.
TEST_CASE_FIXTURE(serving_fixture, "the refusal of a HEAD request has no body, so that the connection stays usable") {
    configure();
    add_server("s1", {}, answer_with(200, "hello"));
    std::string received;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        const std::string bytes = "HEAD /unknown/x HTTP/1.1\r\nHost: host.example\r\nDragonflywell-Attempt-Id: a1\r\n"
                                  "Api-Key: secret\r\n\r\n"
                                  "GET /safe/x HTTP/1.1\r\nHost: host.example\r\nDragonflywell-Attempt-Id: a2\r\n"
                                  "Api-Key: secret\r\nConnection: close\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        boost::system::error_code end;
        co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                  asio::redirect_error(asio::use_awaitable, end));
    });
    CHECK(received.starts_with("HTTP/1.1 404"));
    const std::size_t head_end = received.find("\r\n\r\n");
    REQUIRE(head_end != std::string::npos);
    CHECK(received.substr(head_end + 4).starts_with("HTTP/1.1 200"));
    CHECK(received.ends_with("hello"));
}
