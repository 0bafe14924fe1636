#include <doctest/doctest.h>

#include "platform/cloud_client.hpp"
#include "platform/engine_order_client.hpp"
#include "platform/store_client.hpp"
#include "standin/raw_server.hpp"
#include "support/event_loop.hpp"

using namespace dragonflywell;
using namespace dragonflywell::platform;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::standin::request_part;
using dragonflywell::testing::run_until_done;
namespace asio = boost::asio;

namespace {

constexpr std::size_t long_value_bytes = 900'000;

/// A server that answers each request before it has read it, with a response without a length, and breaks off.
struct early_server {
    explicit early_server(const std::string& body)
        : server(
              loop,
              [body](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                  co_await connection.write("HTTP/1.1 200 OK\r\n\r\n" + body);
                  connection.reset();
              },
              request_part::head) {}
    early_server(const early_server&) = delete;
    early_server& operator=(const early_server&) = delete;
    early_server(early_server&&) = delete;
    early_server& operator=(early_server&&) = delete;
    ~early_server() { pool.clear(); }

    template <typename Call>
    auto run(Call call) {
        std::optional<typename decltype(call())::value_type> result;
        run_until_done(loop, [&]() -> asio::awaitable<void> { result = co_await call(); });
        return *result;
    }

    asio::io_context loop{1};
    host_clock time;
    servers::backend_connection_pool pool{time, {}};
    metrics_registry metrics;
    raw_server server;
};

enum class call_result { succeeded, refused, unknown };

} // namespace

TEST_CASE("a call of the store whose response has no length and breaks off early has an unknown outcome") {
    // As a whole, each is a result: the bytes of a page or an append, and a listing.
    for (const std::string& body : {std::string(16, '\0'), std::string(R"({"items":[],"more":false,"offset":0,)"
                                                                       R"("endOffset":0})")}) {
        for (int kind = 0; kind < 3; ++kind) {
            CAPTURE(kind);
            early_server parts(body);
            store_client store(parts.pool, parts.metrics, {.address = parts.server.get_endpoint()});
            CHECK(parts.run([&]() -> asio::awaitable<call_result> {
                try {
                    if (kind == 0) {
                        co_await store.append("keyed.t", "k", std::string(long_value_bytes, 'v'));
                    } else if (kind == 1) {
                        co_await store.read("keyed.t", log_position(), duration::zero());
                    } else {
                        co_await store.read_newest("keyed.t");
                    }
                } catch (const store_unavailable_error& fault) {
                    co_return fault.is_refused() ? call_result::refused : call_result::unknown;
                }
                co_return call_result::succeeded;
            }) == call_result::unknown);
        }
    }
}

TEST_CASE("a call of an engine or of a duty whose response has no length and breaks off early has an unknown outcome") {
    const duty_credentials credentials{.holder = "h", .fence = 1};
    early_server parts(R"({"stage":"decode","seq":2,"busy":false})");
    const engine_address engine{.name = backend_server_name("e"), .address = parts.server.get_endpoint()};
    engine_order_client orders(parts.pool, parts.metrics, {});
    CHECK_FALSE(parts.run(
        [&]() -> asio::awaitable<std::optional<engine_report>> { co_return co_await orders.request_report(engine); }));
    CHECK(parts.run([&]() -> asio::awaitable<engine_order_result> {
        co_return co_await orders.order_stage_change(credentials, engine, fleet::engine_stage::decode, 1);
    }) == engine_order_result::unknown);
    cloud_client cloud(parts.pool, parts.metrics, {.address = parts.server.get_endpoint()});
    CHECK(parts.run([&]() -> asio::awaitable<duty_call_result> {
        co_return co_await cloud.report_usage(credentials, coordination::window_usage());
    }) == duty_call_result::unknown);
}
