#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/error.hpp"
#include "platform/store_client.hpp"
#include "standin/raw_server.hpp"
#include "support/event_loop.hpp"
#include "support/let_others_run.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using namespace dragonflywell::platform;
using dragonflywell::testing::let_others_run;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::store_fixture;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr log_position begin{};

/// A position in the first era of the stand-in.
log_position at(std::uint64_t offset) {
    return {.era = 1, .offset = offset};
}

/// A client's parts on a virtual clock.
struct virtual_time {
    virtual_clock time;
    asio::io_context loop{1};
    servers::backend_connection_pool pool{time, {}};
    metrics_registry metrics;

    ~virtual_time() { pool.clear(); }
};

} // namespace

TEST_CASE_FIXTURE(store_fixture, "records are read as they were written, and a removed key is read without a value") {
    store_client client = make_client();
    const std::string binary("\0\xff value", 8);
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        const append_result first = co_await client.append("keyed.t", "a", binary);
        CHECK(first.position == at(0));
        CHECK(first.end.offset == 1);
        co_await client.append("keyed.t", "b", "2");
        store.put("keyed.t", "a", "");
        const store_page page = co_await client.read("keyed.t", at(1), duration::zero());
        REQUIRE(page.records.size() == 2);
        CHECK(page.records[0].key == "b");
        CHECK(page.records[0].value == "2");
        CHECK(page.records[1].offset == 2);
        CHECK_FALSE(page.records[1].value);
        CHECK(page.next.offset == 3);
    });
}

TEST_CASE_FIXTURE(store_fixture, "a listing of several pages returns the newest record of each key") {
    for (int key = 0; key < 8; ++key) {
        store.put("keyed.t", std::to_string(key), "old");
        store.put("keyed.t", std::to_string(key), "new" + std::to_string(key));
    }
    store_client client = make_client();
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        const store_page page = co_await client.read_newest("keyed.t");
        REQUIRE(page.records.size() == 8);
        CHECK(page.records[7].value == "new7");
        CHECK(page.next.offset == 16);
    });
}

TEST_CASE_FIXTURE(store_fixture, "a conditional append reports a conflict when the topic ends at another offset") {
    store_client client = make_client();
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        const append_result won = co_await client.append("keyed.t", "k", "1", at(0));
        CHECK(won.position == at(0));
        const append_result lost = co_await client.append("keyed.t", "k", "2", at(0));
        CHECK_FALSE(lost.position);
        CHECK(lost.end.offset == 1);
    });
    CHECK(store.get("keyed.t", "k") == "1");
}

TEST_CASE_FIXTURE(store_fixture, "a read of dropped records fails with the oldest kept offset") {
    store.put("keyed.t", "k", "1");
    store.drop_history("keyed.t");
    store_client client = make_client();
    bool is_dropped = false;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        try {
            co_await client.read("keyed.t", at(0), duration::zero());
        } catch (const store_history_dropped_error& dropped) {
            is_dropped = dropped.get_first_offset() == 1;
        }
    });
    CHECK(is_dropped);
}

TEST_CASE_FIXTURE(store_fixture,
                  "a call without a usable response fails and reports whether it certainly had no effect") {
    std::string answer;
    standin::raw_server broken(
        loop, [&](const servers::http_request&, standin::raw_connection& connection) -> asio::awaitable<void> {
            if (answer.empty()) {
                connection.reset();
            } else {
                co_await connection.write(answer);
            }
        });
    const auto append = [&]() {
        // A client opens its circuit breaker after a failure, so that each call needs a new client.
        store_client client = make_client(broken.get_endpoint());
        std::optional<bool> is_refused;
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            try {
                co_await client.append("keyed.t", "k", "v");
            } catch (const store_unavailable_error& fault) {
                is_refused = fault.is_refused();
            }
        });
        return is_refused;
    };
    CHECK(append() == false);
    answer = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    CHECK(append() == true);
    answer = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n";
    CHECK(append() == true);
    answer = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";
    CHECK(append() == false);
    answer = "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n{no";
    CHECK(append() == false);
    broken.stop_listening();
    pool.clear();
    CHECK(append() == true);
}

TEST_CASE("a response that ends within a record is rejected") {
    const std::string head = std::string(7, '\0') + '\2' + std::string(8, '\0');
    const std::string record = encode_keyed_record("k", "v");
    CHECK(decode_read_response(head + record, {}).records.size() == 1);
    CHECK_THROWS_AS(static_cast<void>(decode_read_response(head + record.substr(0, 5), {})), malformed_message_error);
    CHECK_THROWS_AS(static_cast<void>(decode_read_response("short", {})), malformed_message_error);
    // A record without a key is skipped, but it counts for the offsets.
    const std::string keyless("\0\0\0\1\0", 5);
    const store_page page = decode_read_response(head + keyless + record, {.era = 0, .offset = 4});
    REQUIRE(page.records.size() == 1);
    CHECK(page.records[0].offset == 5);
    CHECK(page.next.offset == 6);
}

TEST_CASE_FIXTURE(virtual_time,
                  "a large configuration is not cut off while its bytes arrive, and interrupts no other read") {
    constexpr std::size_t pieces = 8;
    constexpr duration pause = 400ms;
    const std::string piece(64UL * 1024, 'x');
    const std::string record = encode_keyed_record("config", std::string(pieces * piece.size(), 'x'));
    const std::string beginning =
        std::string(7, '\0') + '\1' + std::string(8, '\0') + record.substr(0, record.size() - pieces * piece.size());
    standin::raw_server server(
        loop, [&](const servers::http_request& request, standin::raw_connection& connection) -> asio::awaitable<void> {
            if (request.target().find("keyed.hosts") != std::string_view::npos) {
                co_await connection.wait_for_end();
                co_return;
            }
            co_await connection.write(
                fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", beginning.size() + pieces * piece.size()) +
                beginning);
            for (std::size_t sent = 0; sent < pieces; ++sent) {
                co_await let_others_run();
                time.advance(pause);
                co_await connection.write(piece);
            }
        });
    store_client client(pool, metrics, {.address = server.get_endpoint()});
    bool is_poll_over = false;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            try {
                co_await client.read("keyed.hosts", begin, 24h);
            } catch (const store_unavailable_error&) {
            }
            is_poll_over = true;
        },
        asio::detached);
    testing::run_until(loop, [&] { return server.get_requests().size() == 1; });
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        const store_page page = co_await client.read("keyed.op", begin, duration::zero());
        REQUIRE(page.records.size() == 1);
        CHECK(page.records[0].value->size() == pieces * piece.size());
    });
    CHECK_FALSE(is_poll_over);
    CHECK(metrics.get_counter("dragonflywell_store_failures_total").get() == 0);
}

TEST_CASE_FIXTURE(virtual_time,
                  "a change that the store delivers late, since all hosts read it at once, is not asked for again") {
    standin::raw_server server(
        loop,
        [&](const servers::http_request& /*request*/, standin::raw_connection& connection) -> asio::awaitable<void> {
            // The interim response makes the client compare its clock with its deadline.
            co_await let_others_run();
            time.advance(1s);
            co_await connection.write("HTTP/1.1 100 Continue\r\n\r\n");
            co_await let_others_run();
            co_await connection.write("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + std::string(16, '\0'));
        });
    store_client client(pool, metrics, {.address = server.get_endpoint()});
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        const store_page page = co_await client.read("keyed.op", begin, duration::zero(), 1500ms);
        CHECK(page.records.empty());
        CHECK_THROWS_AS(co_await client.read("keyed.op", begin, duration::zero()), store_unavailable_error);
    });
    CHECK(server.get_requests().size() == 2);
}

TEST_CASE_FIXTURE(virtual_time, "a transfer that never ends is given up after its longest time") {
    standin::raw_server server(
        loop,
        [&](const servers::http_request& /*request*/, standin::raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(16, '\0'));
            for (int sent = 0; sent < 60; ++sent) {
                co_await let_others_run();
                time.advance(100ms);
                co_await connection.write("x");
            }
            co_await connection.wait_for_end();
        });
    store_client client(pool, metrics, {.address = server.get_endpoint()});
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        CHECK_THROWS_AS(co_await client.read("keyed.op", begin, duration::zero()), store_unavailable_error);
    });
}

TEST_CASE("after a failure the store is not called until the backoff has elapsed, and all calls go through once it "
          "responds") {
    virtual_clock time;
    asio::io_context loop(1);
    servers::backend_connection_pool pool(time, {});
    metrics_registry metrics;
    bool is_well = false;
    standin::raw_server server(
        loop,
        [&](const servers::http_request& /*request*/, standin::raw_connection& connection) -> asio::awaitable<void> {
            std::string bytes = is_well ? "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + std::string(16, '\0')
                                        : "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
            co_await connection.write(std::move(bytes));
        });
    store_client client(pool, metrics, {.address = server.get_endpoint()});
    const auto read = [&]() -> asio::awaitable<bool> {
        bool is_read = true;
        try {
            co_await client.read("keyed.t", begin, duration::zero());
        } catch (const store_unavailable_error& fault) {
            CHECK(fault.is_refused());
            is_read = false;
        }
        co_return is_read;
    };
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        for (int call = 0; call < 10; ++call) {
            const bool is_read = co_await read();
            CHECK_FALSE(is_read);
        }
        CHECK(server.get_requests().size() == 1);
        time.advance(1s);
        is_well = true;
        for (int call = 0; call < 10; ++call) {
            const bool is_read = co_await read();
            CHECK(is_read);
        }
        CHECK(server.get_requests().size() == 11);
    });
    pool.clear();
}
