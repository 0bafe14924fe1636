#include <doctest/doctest.h>

#include "platform/cloud_client.hpp"
#include "platform/engine_order_client.hpp"
#include "platform/store_client.hpp"
#include "support/generation_parts.hpp"
#include "support/let_others_run.hpp"
#include "support/malformed_heads.hpp"

using namespace dragonflywell;
using namespace dragonflywell::platform;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::decode;
using dragonflywell::testing::make_events;
using dragonflywell::testing::make_odd_fields;
using dragonflywell::testing::make_odd_statuses;
using dragonflywell::testing::malformed_head;
using dragonflywell::testing::prefill;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

namespace {

constexpr unsigned bad_gateway = 502;
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
const std::string sealed = "Dragonflywell-Server-Seal: seal\r\n";
const std::string not_run = "Dragonflywell-Not-Executed: 1\r\n";
const std::string stream_fields = sealed + "Content-Type: text/event-stream\r\n";

using malformed_heads = std::vector<malformed_head>;

std::string make_id_field(const servers::http_request& request) {
    return "Dragonflywell-Attempt-Id: " + serving_fixture::get_id(request) + "\r\n";
}

/// Responds with a malformed header in place of a proper one.
raw_server::behaviour answer_with(const malformed_head& head, unsigned status, const std::string& fields,
                                  const std::string& body) {
    return [=](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        const std::string bytes = head.encode(status, make_id_field(request) + fields, body);
        co_await connection.write(bytes);
        connection.close();
    };
}

/// As above, behind a proper interim response.
raw_server::behaviour answer_after_interim(const malformed_head& head) {
    return [=](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        const std::string bytes =
            "HTTP/1.1 103 Early Hints\r\n\r\n" + head.encode(status_ok, make_id_field(request) + sealed, "body");
        co_await connection.write(bytes);
        connection.close();
    };
}

void check_plain_requests(const malformed_heads& heads) {
    for (const malformed_head& head : heads) {
        CAPTURE(head.version + head.status + head.fields);
        for (const raw_server::behaviour& answer :
             {answer_with(head, status_ok, sealed, "body"), answer_with(head, status_unavailable, not_run, ""),
              answer_after_interim(head)}) {
            serving_fixture serving;
            serving.configure();
            serving.add_server("a", std::nullopt, answer);
            for (const std::string route : {"/unsafe/x", "/safe/x"}) {
                const serving_fixture::answer got = serving.ask(http::verb::post, route, "in");
                CHECK(got.status == bad_gateway);
                CHECK_FALSE(got.headers.contains("Dragonflywell-Server-Seal"));
            }
        }
    }
}

void check_streams(const malformed_heads& heads) {
    for (const malformed_head& head : heads) {
        CAPTURE(head.version + head.status + head.fields);
        serving_fixture serving;
        serving.configure();
        serving.add_server("d", decode, answer_with(head, status_ok, stream_fields, make_events(1, 2)));
        CHECK(serving.generate("/gen/x").status == bad_gateway);
        serving.added["d"]->set_behaviour(answer_with(head, status_unavailable, not_run, ""));
        CHECK(serving.generate("/gen/x").status == bad_gateway);
    }
}

void check_resumed_streams(const malformed_heads& heads) {
    for (const malformed_head& head : heads) {
        CAPTURE(head.version + head.status + head.fields);
        serving_fixture serving;
        serving.configure();
        const raw_server::behaviour broken = testing::break_after(1);
        const raw_server::behaviour malformed = answer_with(head, status_ok, stream_fields, make_events(2, 3));
        const auto answer = [&](const servers::http_request& request,
                                raw_connection& connection) -> asio::awaitable<void> {
            const raw_server::behaviour& chosen = request["Last-Event-Id"].empty() ? broken : malformed;
            co_await chosen(request, connection);
        };
        serving.add_server("d1", decode, answer);
        serving.add_server("d2", decode, answer);
        const serving_fixture::answer got = serving.generate("/resume/x");
        CHECK(got.is_cut);
        CHECK(got.body == make_events(1, 1));
    }
}

void check_prefills(const malformed_heads& heads) {
    for (const malformed_head& head : heads) {
        CAPTURE(head.version + head.status + head.fields);
        serving_fixture serving;
        serving.configure();
        const raw_server& engine = serving.add_server("d", decode, serving_fixture::stream_events(1, 2));
        serving.add_server("p", prefill, answer_with(head, status_ok, "", R"({"kvHandle":"odd","tokens":100})"));
        const serving_fixture::answer got = serving.generate("/gen/x");
        CHECK(got.body == make_events(1, 2));
        for (const servers::http_request& request : engine.get_requests()) {
            CHECK(request["Dragonflywell-Kv-Source"].empty());
        }
    }
}

/// Clients of calls outside of requests, to one server.
struct calls {
    explicit calls(const malformed_head& head, unsigned status, const std::string& body)
        : server(loop, answer_with(head, status, "", body)) {}
    calls(const calls&) = delete;
    calls& operator=(const calls&) = delete;
    calls(calls&&) = delete;
    calls& operator=(calls&&) = delete;
    ~calls() { pool.clear(); }

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

/// How a call to the store ends.
enum class call_result { succeeded, refused, unknown };

void check_store_calls(const malformed_heads& heads) {
    const std::string listing = R"({"items":[],"more":false,"offset":0,"endOffset":0})";
    for (const malformed_head& head : heads) {
        CAPTURE(head.version + head.status + head.fields);
        for (const unsigned status : {status_ok, status_unavailable}) {
            for (int kind = 0; kind < 3; ++kind) {
                calls parts(head, status, kind == 0 ? std::string(16, '\0') : listing);
                store_client store(parts.pool, parts.metrics, {.address = parts.server.get_endpoint()});
                const call_result result = parts.run([&]() -> asio::awaitable<call_result> {
                    try {
                        if (kind == 0) {
                            co_await store.read("keyed.t", log_position(), duration::zero());
                        } else if (kind == 1) {
                            co_await store.read_newest("keyed.t");
                        } else {
                            co_await store.append("keyed.t", "k", "v");
                        }
                    } catch (const store_unavailable_error& fault) {
                        co_return fault.is_refused() ? call_result::refused : call_result::unknown;
                    }
                    co_return call_result::succeeded;
                });
                CHECK(result == call_result::unknown);
            }
        }
    }
}

void check_engine_calls(const malformed_heads& heads) {
    const std::string report = R"({"stage":"decode","seq":2,"busy":false})";
    const duty_credentials credentials{.holder = "h", .fence = 1};
    for (const malformed_head& head : heads) {
        CAPTURE(head.version + head.status + head.fields);
        calls parts(head, status_ok, report);
        const engine_address engine{.name = backend_server_name("e"), .address = parts.server.get_endpoint()};
        engine_order_client orders(parts.pool, parts.metrics, {});
        CHECK_FALSE(parts.run([&]() -> asio::awaitable<std::optional<engine_report>> {
            co_return co_await orders.request_report(engine);
        }));
        CHECK(parts.run([&]() -> asio::awaitable<engine_order_result> {
            co_return co_await orders.order_stage_change(credentials, engine, fleet::engine_stage::decode, 1);
        }) == engine_order_result::unknown);
    }
}

void check_duty_calls(const malformed_heads& heads) {
    const duty_credentials credentials{.holder = "h", .fence = 1};
    const coordination::window_usage usage;
    for (const malformed_head& head : heads) {
        CAPTURE(head.version + head.status + head.fields);
        for (const unsigned status : {status_ok, status_unavailable}) {
            calls parts(head, status, "{}");
            cloud_client cloud(parts.pool, parts.metrics, {.address = parts.server.get_endpoint()});
            CHECK(parts.run([&]() -> asio::awaitable<duty_call_result> {
                co_return co_await cloud.report_usage(credentials, usage);
            }) == duty_call_result::unknown);
        }
    }
}

} // namespace

TEST_CASE("a response whose status is none is never taken for a response to a plain request") {
    check_plain_requests(make_odd_statuses());
}

TEST_CASE("a response whose status is none is never taken for a stream or a prefill") {
    check_streams(make_odd_statuses());
    check_resumed_streams(make_odd_statuses());
    check_prefills(make_odd_statuses());
}

TEST_CASE("a response whose status is none is never taken for a result of the store, an engine or a duty") {
    check_store_calls(make_odd_statuses());
    check_engine_calls(make_odd_statuses());
    check_duty_calls(make_odd_statuses());
}

TEST_CASE("a response with a field that has no proper name is never taken for a response to a plain request") {
    check_plain_requests(make_odd_fields());
}

TEST_CASE("a response with a field that has no proper name is never taken for a stream or a prefill") {
    check_streams(make_odd_fields());
    check_resumed_streams(make_odd_fields());
    check_prefills(make_odd_fields());
}

TEST_CASE("a response with a field that has no proper name is never a result of the store, an engine or a duty") {
    check_store_calls(make_odd_fields());
    check_engine_calls(make_odd_fields());
    check_duty_calls(make_odd_fields());
}

TEST_CASE("a folded line is rejected wherever the bytes of the header are divided") {
    const std::string fields = sealed + " X: 1\r\n";
    const std::string whole = malformed_head().encode(status_ok, "Dragonflywell-Attempt-Id: a1\r\n" + fields, "body");
    for (std::size_t first = 1; first < whole.size(); ++first) {
        CAPTURE(first);
        serving_fixture serving;
        serving.configure();
        serving.add_server(
            "a", std::nullopt,
            [&](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                co_await connection.write(whole.substr(0, first));
                co_await testing::let_others_run();
                co_await connection.write(whole.substr(first));
                connection.close();
            });
        CHECK(serving.ask(http::verb::post, "/unsafe/x", "in").status == bad_gateway);
    }
}
