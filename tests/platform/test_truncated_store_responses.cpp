#include <array>
#include <doctest/doctest.h>

#include "platform/engine_order_client.hpp"
#include "platform/store_client.hpp"
#include "support/cut_response.hpp"
#include "support/event_loop.hpp"

using namespace dragonflywell;
using namespace dragonflywell::platform;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::cut_response;
using dragonflywell::testing::encode_response;
using dragonflywell::testing::encoded_response;
using dragonflywell::testing::framing;
using dragonflywell::testing::run_until_done;
namespace asio = boost::asio;

namespace {

/// A response that ends with its connection is not accepted from the store or in reply to an order, even when it is
/// whole.
constexpr std::array framings{framing::by_length, framing::by_chunks, framing::by_chunks_and_trailer,
                              framing::by_connection_end};
const std::string ok_head = "HTTP/1.1 200 OK\r\n";

struct fixture {
    ~fixture() { pool.clear(); }

    asio::io_context loop{1};
    host_clock time;
    servers::backend_connection_pool pool{time, {}};
    metrics_registry metrics;
};

std::size_t count_cuts(const encoded_response& response, framing frame) {
    return response.bytes.size() + (frame == framing::by_connection_end ? 1 : 0);
}

/// How a call to the store ends.
enum class call_result { succeeded, refused, unknown };

/// Returns how a call ends for each beginning of a response, in all framings.
template <typename Call>
void check_never_complete(const std::string& head, const std::string& body, Call call) {
    for (const framing frame : framings) {
        const encoded_response response = encode_response(head, frame, body);
        for (std::size_t sent = 0; sent < count_cuts(response, frame); ++sent) {
            CAPTURE(static_cast<int>(frame));
            CAPTURE(sent);
            fixture parts;
            raw_server server(parts.loop, cut_response(response, sent));
            store_client store(parts.pool, parts.metrics, {.address = server.get_endpoint()});
            call_result result = call_result::succeeded;
            run_until_done(parts.loop, [&]() -> asio::awaitable<void> {
                try {
                    co_await call(store);
                } catch (const store_unavailable_error& fault) {
                    result = fault.is_refused() ? call_result::refused : call_result::unknown;
                }
            });
            CHECK(result == call_result::unknown);
        }
    }
}

/// A read response that ends at offset 2 and contains one record.
const std::string page =
    std::string("\0\0\0\0\0\0\0\x02", 8) + std::string(8, '\0') + encode_keyed_record("key", "value");

} // namespace

TEST_CASE("an append whose response is cut at any byte has an unknown outcome") {
    check_never_complete(
        ok_head, R"({"offset":1234,"endOffset":1235})",
        [](store_client& store) -> asio::awaitable<void> { co_await store.append("keyed.t", "key", "value"); });
}

TEST_CASE("a refusal of an append that is cut at any byte is not taken for a promise that it had no effect") {
    check_never_complete(
        "HTTP/1.1 503 X\r\nRetry-After: 1.5\r\n", R"({"why":"busy"})",
        [](store_client& store) -> asio::awaitable<void> { co_await store.append("keyed.t", "key", "value"); });
}

TEST_CASE("a page of records that is cut at any byte is not taken for a shorter one") {
    check_never_complete(ok_head, page, [](store_client& store) -> asio::awaitable<void> {
        const log_position from{.era = 0, .offset = 1};
        co_await store.read("keyed.t", from, duration::zero());
    });
}

TEST_CASE("a listing that is cut at any byte is not taken for a shorter one") {
    check_never_complete(ok_head, R"({"items":[{"key":"a","value":"dg==","offset":1}],"more":false,"endOffset":12})",
                         [](store_client& store) -> asio::awaitable<void> { co_await store.read_newest("keyed.t"); });
}

TEST_CASE("an engine order whose response is cut at any byte has an unknown outcome") {
    for (const framing frame : framings) {
        const encoded_response response = encode_response("HTTP/1.1 202 Accepted\r\n", frame, "{\"seq\":12}");
        for (std::size_t sent = 0; sent < count_cuts(response, frame); ++sent) {
            CAPTURE(static_cast<int>(frame));
            CAPTURE(sent);
            fixture parts;
            raw_server server(parts.loop, cut_response(response, sent));
            engine_order_client orders(parts.pool, parts.metrics, {});
            const engine_address engine{.name = backend_server_name("e"), .address = server.get_endpoint()};
            const duty_credentials credentials{.holder = "h", .fence = 1};
            engine_order_result result = engine_order_result::accepted;
            run_until_done(parts.loop, [&]() -> asio::awaitable<void> {
                result = co_await orders.order_stage_change(credentials, engine, fleet::engine_stage::decode, 1);
            });
            CHECK(result == engine_order_result::unknown);
        }
    }
}

TEST_CASE("an engine's report that is cut at any byte is not used") {
    for (const framing frame : framings) {
        const encoded_response response = encode_response(ok_head, frame, R"({"stage":"decode","seq":12})");
        for (std::size_t sent = 0; sent < count_cuts(response, frame); ++sent) {
            CAPTURE(static_cast<int>(frame));
            CAPTURE(sent);
            fixture parts;
            raw_server server(parts.loop, cut_response(response, sent));
            engine_order_client orders(parts.pool, parts.metrics, {});
            const engine_address engine{.name = backend_server_name("e"), .address = server.get_endpoint()};
            bool has_report = true;
            run_until_done(parts.loop, [&]() -> asio::awaitable<void> {
                has_report = (co_await orders.request_report(engine)).has_value();
            });
            CHECK_FALSE(has_report);
        }
    }
}
