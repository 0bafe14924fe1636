#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "platform/engine_order_client.hpp"
#include "servers/server_call.hpp"
#include "support/let_others_run.hpp"
#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until;
using dragonflywell::testing::serving_fixture;
using namespace std::chrono_literals;
namespace http = servers::http;
namespace asio = boost::asio;

namespace {

constexpr auto prefill = fleet::engine_stage::prefill;
constexpr auto decode = fleet::engine_stage::decode;
const std::string zero_limit = "Server-Limit: 0\r\n";

std::string with_header(std::string response, const std::string& header) {
    return response.insert(response.find("\r\n") + 2, header);
}

/// The host is the only one, so that it owns all limits.
struct fixture : serving_fixture {
    fixture() {
        configure();
        state.limits.on_change = [this] { poll(); };
        state.limits.set_hosts({{.host = "", .core_thousandths = 0}});
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;
    ~fixture() { state.limits.on_change = nullptr; }

    /// Does what the exchange of the daemon does for a host without others.
    void poll() {
        static_cast<void>(state.limits.poll());
        timer.expires_after(1ms);
        timer.async_wait([this](const servers::error_code& fault) {
            if (!fault) {
                poll();
            }
        });
    }

    /// Lets time pass for the limits; the pledge of the shares is renewed meanwhile.
    void advance(duration by) {
        constexpr duration step = 20ms;
        for (duration passed{}; passed < by; passed += step) {
            time.advance(step);
            poll();
        }
    }

    static raw_server::behaviour answer_naming(const std::string& header) {
        return [header](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.write(with_header(make_answer(request, 200, "ok"), header));
        };
    }

    std::uint64_t count_invalid() { return metrics.get_counter("dragonflywell_invalid_server_limits_total").get(); }
    std::int64_t count_limited() { return metrics.get_gauge("dragonflywell_servers_with_limit").get(); }
    asio::steady_timer timer{loop};

    bool has_limit(const char* server) { return state.limits.find_limit(backend_server_name(server)).has_value(); }
};

} // namespace

TEST_CASE_FIXTURE(
    fixture, "a server that names 2 a second gets no more than the bound in 4 s although callers ask for 50 a second") {
    constexpr std::size_t allowed = 6 * 2 + 5;
    constexpr duration window = 4s;
    constexpr duration interval = 20ms;
    constexpr int seconds = 12;
    std::vector<steady_time> arrivals;
    add_server("s1", {},
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   arrivals.push_back(time.now());
                   co_await connection.write(with_header(make_answer(request, 200, "ok"), "Server-Limit: 2\r\n"));
               });
    for (int number = 0; number < seconds * (1s / interval); ++number) {
        advance(interval);
        const answer got = ask(http::verb::get, "/safe/x");
        CHECK((got.status == 200 || got.status == 503));
    }
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::find_if(first, arrivals.end(), [&](steady_time at) { return at >= *first + window; });
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    CHECK(most <= allowed);
    // The limit is a rate, not a stop: a server that gets nothing could not end it either.
    CHECK(arrivals.size() >= seconds);
}

TEST_CASE_FIXTURE(
    fixture, "requests do not wait for a server without room but go to another one at once, and spend no retries") {
    const raw_server& limited = add_server("s1", {}, answer_naming(zero_limit));
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    const raw_server& other = add_server("s2", {}, answer_with(200, "ok"));
    constexpr std::size_t requests = 20;
    for (std::size_t number = 0; number < requests; ++number) {
        CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 200);
    }
    CHECK(limited.get_requests().size() == 1);
    CHECK(other.get_requests().size() == requests);
    CHECK(metrics.get_counter("dragonflywell_retries_total", {{"reason", "backend_server_busy"}}).get() == 0);
}

TEST_CASE_FIXTURE(fixture,
                  "a request for which no server has room is refused at once as not run, and nothing is sent") {
    const raw_server& server = add_server("s1", {}, answer_naming(zero_limit));
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 200);
    const answer refused = ask(http::verb::post, "/unsafe/x", "{}");
    CHECK(refused.status == 503);
    CHECK(refused.body.find("no_backend_server") != std::string::npos);
    CHECK(metrics.get_counter("dragonflywell_requests_total", {{"outcome", "not_run"}}).get() == 1);
    CHECK(std::stod(refused.headers.at("Retry-After")) > 0);
    CHECK(server.get_requests().size() == 1);
}

TEST_CASE_FIXTURE(fixture, "neither a first stage nor a generation is sent to an engine without room") {
    const raw_server& reader = add_server("p1", prefill, read_prompts());
    const raw_server& full = add_server("d1", decode, refuse());
    state.apply_notice(backend_server_name("d1"), 1, {.names_limit = true, .limit = 0}, time.now());
    CHECK(generate("/gen/x").status == 503);
    CHECK(full.get_requests().empty());
    add_server("d2", decode, stream_events(1, 2));
    CHECK(generate("/gen/x").status == 200);
    CHECK(full.get_requests().empty());
    const std::size_t read = reader.get_requests().size();
    state.apply_notice(backend_server_name("p1"), 1, {.names_limit = true, .limit = 0}, time.now());
    add_server("p2", prefill, read_prompts());
    CHECK(generate("/gen/x").status == 200);
    CHECK(reader.get_requests().size() == read);
}

TEST_CASE_FIXTURE(fixture, "a limit that cannot be does not stop the requests to a server") {
    std::string value;
    SUBCASE("negative") {
        value = "-1";
    }
    SUBCASE("not a number") {
        value = "nan";
    }
    SUBCASE("infinite") {
        value = "inf";
    }
    SUBCASE("out of range") {
        value = "1000001";
    }
    SUBCASE("words") {
        value = "few";
    }
    SUBCASE("empty") {
        value = "";
    }
    const raw_server& server = add_server("s1", {}, answer_naming("Server-Limit: " + value + "\r\n"));
    constexpr std::size_t requests = 10;
    for (std::size_t number = 0; number < requests; ++number) {
        CHECK(ask(http::verb::get, "/safe/x").status == 200);
    }
    CHECK(server.get_requests().size() == requests);
    CHECK(count_invalid() == requests);
    CHECK(count_limited() == 0);
}

TEST_CASE_FIXTURE(fixture, "an invalid value does not end a limit that was named before") {
    add_server("s1", {}, answer_with(200, "ok"));
    const backend_server_name server("s1");
    state.apply_notice(server, 1, {.names_limit = true, .limit = 2}, time.now());
    time.advance(1ms);
    state.apply_notice(server, 1, {.names_limit = true, .limit = {}}, time.now());
    CHECK(has_limit("s1"));
    CHECK(count_invalid() == 1);
}

TEST_CASE_FIXTURE(fixture, "a limit does not outlast a response without it") {
    raw_server& server = add_server("s1", {}, answer_naming(zero_limit));
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    CHECK(ask(http::verb::get, "/safe/x").status == 503);
    CHECK(count_limited() == 1);
    server.set_behaviour(answer_with(200, "ok"));
    // Even at zero a request is sent from time to time, since only a response can end the limit.
    advance(8s);
    constexpr std::size_t requests = 10;
    for (std::size_t number = 0; number < requests; ++number) {
        CHECK(ask(http::verb::get, "/safe/x").status == 200);
    }
    CHECK(count_limited() == 0);
}

TEST_CASE_FIXTURE(fixture, "a limit does not end with the response to a request that was under way when it was named") {
    bool is_released = false;
    std::size_t begun = 0;
    const raw_server& server = add_server(
        "s1", {}, [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
            const bool is_first = begun++ == 0;
            while (is_first && !is_released) {
                co_await testing::let_others_run();
            }
            std::string response = make_answer(request, 200, "ok");
            if (!is_first) {
                response = with_header(response, zero_limit);
            }
            co_await connection.write(std::move(response));
        });
    bool is_answered = false;
    const auto send = [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        servers::http_request request(http::verb::get, "/safe/x", 11);
        for (const auto& [name, value] : get_headers()) {
            request.insert(name, value);
        }
        servers::error_code fault;
        co_await http::async_write(socket, request, servers::store_error(fault));
        const answer got = co_await read_answer(socket);
        is_answered = got.status == 200;
    };
    asio::co_spawn(loop, send(), asio::detached);
    run_until(loop, [&] { return begun == 1; });
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    CHECK(has_limit("s1"));
    is_released = true;
    run_until(loop, [&] { return is_answered; });
    CHECK(has_limit("s1"));
    CHECK(ask(http::verb::get, "/safe/x").status == 503);
    CHECK(server.get_requests().size() == 2);
}

TEST_CASE_FIXTURE(fixture, "a limit that a refusal names is not missed") {
    const raw_server& server = add_server(
        "s1", {}, [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.write(with_header(make_not_run(request), zero_limit));
        });
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 503);
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 503);
    CHECK(server.get_requests().size() == 1);
}

TEST_CASE_FIXTURE(fixture, "the release of a KV cache is not sent to an engine without room") {
    bool is_limited = false;
    SUBCASE("with a limit") {
        is_limited = true;
    }
    SUBCASE("without one") {}
    const std::string header = is_limited ? zero_limit : "";
    const raw_server& reader =
        add_server("p1", prefill,
                   [header](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                       const std::string body = R"({"kvHandle":"h1","tokens":100,"version":1})";
                       co_await connection.write(fmt::format(
                           "HTTP/1.1 200 OK\r\nDragonflywell-Attempt-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}",
                           get_id(request), header, body.size(), body));
                   });
    add_server("d1", decode, refuse());
    CHECK(generate("/gen/x").status == 503);
    loop.restart();
    loop.poll();
    const auto& requests = reader.get_requests();
    const auto is_release = [](const auto& request) { return request.method() == http::verb::delete_; };
    CHECK((std::find_if(requests.begin(), requests.end(), is_release) == requests.end()) == is_limited);
}

TEST_CASE_FIXTURE(fixture,
                  "the limit in the response to a report is not missed, and no further call is sent without room") {
    const raw_server& server =
        add_server("d1", decode,
                   [](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                       const std::string body = R"({"seq":1})";
                       co_await connection.write(fmt::format(
                           "HTTP/1.1 200 OK\r\nServer-Limit: 0\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
                   });
    platform::engine_order_client orders(pool, metrics, {});
    const platform::engine_address engine{.name = backend_server_name("d1"), .address = server.get_endpoint()};
    testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
        std::optional<servers::server_call> call = servers::try_begin_call(state, engine.name);
        REQUIRE(call);
        const std::optional<platform::engine_report> report = co_await orders.request_report(engine, std::move(*call));
        CHECK(report);
    });
    CHECK(has_limit("d1"));
    CHECK_FALSE(servers::try_begin_call(state, engine.name));
}

TEST_CASE_FIXTURE(fixture, "a limit does not end with the response to a report, which may never name one") {
    const raw_server& server =
        add_server("d1", decode,
                   [](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
                       co_await connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":1}");
                   });
    platform::engine_order_client orders(pool, metrics, {});
    const platform::engine_address engine{.name = backend_server_name("d1"), .address = server.get_endpoint()};
    state.apply_notice(engine.name, 1, {.names_limit = true, .limit = 100}, time.now());
    std::optional<servers::server_call> call;
    // A report is sent only if the host holds a permit, which it has asked for because of requests.
    for (int attempt = 0; attempt < 200 && !call; ++attempt) {
        advance(100ms);
        testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
            static_cast<void>(co_await state.limits.acquire(engine.name, 1s));
        });
        call = servers::try_begin_call(state, engine.name);
    }
    REQUIRE(call);
    testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
        const std::optional<platform::engine_report> report = co_await orders.request_report(engine, std::move(*call));
        CHECK(report);
    });
    CHECK(has_limit("d1"));
}

TEST_CASE_FIXTURE(fixture, "a permit of which nothing was sent is not lost") {
    add_server("s1", {}, answer_with(200, "ok"));
    const backend_server_name server("s1");
    state.apply_notice(server, 1, {.names_limit = true, .limit = 1}, time.now());
    advance(4s);
    constexpr int more_than_the_bucket_holds = 50;
    for (int number = 0; number < more_than_the_bucket_holds; ++number) {
        testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
            const servers::permit_result taken = co_await state.limits.acquire(server, 1s);
            CHECK(taken.permit);
        });
        poll();
    }
}

TEST_CASE_FIXTURE(fixture, "a request that was connecting when the limit was named is not sent beyond it") {
    add_server("s1", {}, answer_with(200, "ok"));
    const backend_server_name server("s1");
    std::optional<servers::send_permit> permit = state.limits.try_acquire(server);
    REQUIRE(permit);
    state.apply_notice(server, 1, {.names_limit = true, .limit = 0}, time.now());
    CHECK_FALSE(permit->try_use());
}

TEST_CASE_FIXTURE(fixture, "the limit of an earlier incarnation does not apply to the server that started anew") {
    add_server("s1", {}, answer_with(200, "ok"));
    state.apply_notice(backend_server_name("s1"), 1, {.names_limit = true, .limit = 0}, time.now());
    CHECK(ask(http::verb::get, "/safe/x").status == 503);
    fleet::server_record record = state.eligibility.get_list().find(backend_server_name("s1"))->record;
    record.started_at_ms = 2;
    state.eligibility.get_list().apply(record, time.now());
    state.refresh_servers();
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
}
