#include "platform/store_circuit_breaker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "standin/raw_server.hpp"
#include "support/event_loop.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;
namespace asio = boost::asio;

TEST_CASE(
    "all users that wait for the store may call as soon as it responds to one, whatever their place in the queue") {
    virtual_clock clock;
    asio::io_context loop(1);
    metrics_registry metrics;
    platform::store_circuit_breaker breaker(clock, metrics, {});
    breaker.on_failure({.target = "call", .sent_at = clock.now(), .alive_at = clock.now(), .reason = "a test"});
    int ready = 0;
    for (int user = 0; user < 3; ++user) {
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                co_await breaker.wait_until_call_allowed();
                ++ready;
            },
            asio::detached);
    }
    loop.poll();
    CHECK(ready == 0);
    breaker.on_success("call");
    loop.restart();
    loop.poll();
    CHECK(ready == 3);
}

TEST_CASE_FIXTURE(testing::store_fixture, "a long poll is cancelled when another call gets no response") {
    standin::raw_server silent(
        loop, [](const servers::http_request&, standin::raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.wait_for_end();
        });
    platform::store_client client(pool, metrics, {.address = silent.get_endpoint(), .timeout = 20ms});
    const log_position begin;
    bool is_given_up = false;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            try {
                co_await client.read("keyed.t", begin, 24h);
            } catch (const platform::store_unavailable_error&) {
                is_given_up = true;
            }
        },
        asio::detached);
    testing::run_until(loop, [&] { return silent.get_requests().size() == 1; });
    testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
        CHECK_THROWS_AS(co_await client.read("keyed.t", begin, duration::zero()), platform::store_unavailable_error);
    });
    testing::run_until(loop, [&] { return is_given_up; });
    CHECK(is_given_up);
}

// Guards against DRAIN: a long poll as the trial call kept a host from its list of servers after the store was back.
TEST_CASE_FIXTURE(testing::store_fixture, "the trial call after failures does not ask the store to wait for records") {
    bool is_reachable = false;
    standin::raw_server server(
        loop, [&](const servers::http_request&, standin::raw_connection& connection) -> asio::awaitable<void> {
            if (!is_reachable) {
                connection.reset();
                co_return;
            }
            constexpr std::size_t empty_page_bytes = 16;
            std::string page = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + std::string(empty_page_bytes, '\0');
            co_await connection.write(std::move(page));
        });
    platform::store_client client(pool, metrics, {.address = server.get_endpoint()});
    const log_position begin;
    testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
        CHECK_THROWS_AS(co_await client.read("keyed.t", begin, 20s), platform::store_unavailable_error);
    });
    is_reachable = true;
    for (int call = 0; call < 2; ++call) {
        testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
            co_await client.wait_until_call_allowed();
            co_await client.read("keyed.t", begin, 20s);
        });
    }
    const std::vector<servers::http_request>& requests = server.get_requests();
    REQUIRE(requests.size() == 3);
    CHECK(std::string(requests[0].target()).find("waitMs=20000") != std::string::npos);
    CHECK(std::string(requests[1].target()).find("waitMs") == std::string::npos);
    CHECK(std::string(requests[2].target()).find("waitMs=20000") != std::string::npos);
}
