#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

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
const std::string leaving = "Server-Leaving: 1\r\n";

/// Adds a header to the responses of another behaviour that begin with a status line.
std::string with_header(std::string response, const std::string& header) {
    return response.insert(response.find("\r\n") + 2, header);
}

raw_server::behaviour refuse_with(const std::string& header) {
    return [header](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        co_await connection.write(with_header(serving_fixture::make_not_run(request), header));
    };
}

raw_server::behaviour answer_leaving() {
    return [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        co_await connection.write(with_header(serving_fixture::make_answer(request, 200, "ok"), leaving));
    };
}

void list_again(serving_fixture& host, const std::string& name, std::int64_t started_at) {
    fleet::server_record record = host.state.eligibility.get_list().find(backend_server_name(name))->record;
    record.started_at_ms = started_at;
    host.state.eligibility.get_list().apply(record, host.time.now());
    host.state.refresh_servers();
}

} // namespace

TEST_CASE_FIXTURE(serving_fixture,
                  "a server that said that it leaves gets no request, whatever the list says, until it starts anew") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_leaving());
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    CHECK(ask(http::verb::get, "/safe/x").status == 503);
    SUBCASE("the list still shows it") {
        list_again(*this, "s1", 1);
    }
    SUBCASE("it is removed from the list and returns with a stale entry") {
        const fleet::server_record record = state.eligibility.get_list().find(backend_server_name("s1"))->record;
        state.eligibility.get_list().remove(backend_server_name("s1"), time.now());
        state.eligibility.get_list().apply(record, time.now());
        state.refresh_servers();
    }
    SUBCASE("the configuration changes") {
        view.version = 2;
        configure();
    }
    CHECK(ask(http::verb::get, "/safe/x").status == 503);
    CHECK(server.get_requests().size() == 1);
    list_again(*this, "s1", 2);
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "fifty requests that wait for an engine choose anew when a stream says that it leaves") {
    configure();
    add_server("p", prefill, read_prompts());
    std::size_t begun = 0;
    bool is_released = false;
    const raw_server& old = add_server(
        "d1", decode, [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
            ++begun;
            co_await connection.write(with_header(make_stream_head(request), leaving) + make_chunk(make_event(1)));
            while (!is_released) {
                co_await testing::let_others_run();
            }
            co_await connection.write(make_chunk(make_event(2)) + "0\r\n\r\n");
        });
    constexpr int waiting = 50;
    int complete = 0;
    const auto send = [&](int number) -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        servers::http_request request(http::verb::post, "/gen/x", 11);
        for (const auto& [name, value] : get_headers()) {
            request.insert(name, value);
        }
        request.set("Dragonflywell-Attempt-Id", fmt::format("a{}", number));
        request.set("Dragonflywell-Model", "m");
        request.set("Dragonflywell-Token-Count", "100,10");
        request.set("Dragonflywell-Prompt-Prefix", "a1:60,b2:40");
        request.body() = "prompt";
        request.prepare_payload();
        servers::error_code fault;
        co_await http::async_write(socket, request, servers::store_error(fault));
        const answer got = co_await read_answer(socket);
        complete += got.status == 200 && !got.is_cut ? 1 : 0;
    };
    asio::co_spawn(loop, send(0), asio::detached);
    run_until(loop, [&] { return state.eligibility.is_leaving(backend_server_name("d1")); });
    const raw_server& next = add_server("d2", decode, stream_events(1, 2));
    for (int number = 1; number <= waiting; ++number) {
        asio::co_spawn(loop, send(number), asio::detached);
    }
    run_until(loop, [&] { return complete == waiting; });
    is_released = true;
    run_until(loop, [&] { return complete == waiting + 1; });
    // The running stream went on, and nothing else reached the leaving engine.
    CHECK(begun == 1);
    CHECK(old.get_requests().size() == 1);
    CHECK(next.get_requests().size() == waiting);
}

TEST_CASE_FIXTURE(serving_fixture, "when all servers of a service leave, requests are refused at once as not run") {
    configure();
    add_server("s1", {}, answer_leaving());
    add_server("s2", {}, answer_leaving());
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 200);
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 200);
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 503);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a server that refuses with Retry-After gets nothing for that time, and another one does") {
    configure();
    const raw_server& busy = add_server("s1", {}, refuse_with("Retry-After: 30\r\n"));
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 503);
    const answer refused = ask(http::verb::post, "/unsafe/x", "{}");
    CHECK(refused.status == 503);
    CHECK(busy.get_requests().size() == 1);
    // The caller is told the truth: the server takes nothing before the pause ends.
    CHECK(std::stod(refused.headers.at("Retry-After")) > 29);
    add_server("s2", {}, answer_with(200, "ok"));
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 200);
    CHECK(busy.get_requests().size() == 1);
}

TEST_CASE_FIXTURE(serving_fixture, "engines that refuse a prefill or a generation with Retry-After are left alone") {
    configure();
    const raw_server& prefill_engine = add_server("p1", prefill, refuse_with("Retry-After: 20.5\r\n"));
    add_server("p2", prefill, read_prompts());
    const raw_server& decode_engine = add_server("d1", decode, refuse_with("Retry-After: 20.5\r\n"));
    add_server("d2", decode, stream_events(1, 2));
    for (int number = 0; number < 10; ++number) {
        CHECK(generate("/gen/x").status == 200);
    }
    CHECK(prefill_engine.get_requests().size() <= 1);
    CHECK(decode_engine.get_requests().size() <= 1);
    CHECK_FALSE(state.eligibility.is_leaving(backend_server_name("p1")));
}

TEST_CASE_FIXTURE(serving_fixture, "an odd Retry-After of a server means a short pause") {
    configure();
    std::string value;
    SUBCASE("negative") {
        value = "-5";
    }
    SUBCASE("a date") {
        value = "Wed, 21 Oct 2037 07:28:00 GMT";
    }
    SUBCASE("very long") {
        value = "1e300";
    }
    SUBCASE("not a number") {
        value = "nan";
    }
    SUBCASE("empty") {
        value = "";
    }
    const raw_server& server = add_server("s1", {}, refuse_with("Retry-After: " + value + "\r\n"));
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 503);
    CHECK(server.get_requests().size() == 1);
    const std::optional<steady_time> end = state.eligibility.get_pause_end(backend_server_name("s1"), time.now());
    REQUIRE(end);
    CHECK(*end - time.now() < 2s);
}

TEST_CASE_FIXTURE(serving_fixture, "a refusal without Retry-After asks for no pause") {
    configure();
    add_server("s1", {}, refuse());
    ask(http::verb::post, "/unsafe/x", "{}");
    CHECK_FALSE(state.eligibility.get_pause_end(backend_server_name("s1"), time.now()));
}

TEST_CASE_FIXTURE(serving_fixture, "what another server says on a reused address is no notice of the listed one") {
    configure();
    add_server("s1", {}, [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
        co_await connection.write(with_header(make_not_run(request, 421), leaving));
    });
    ask(http::verb::post, "/unsafe/x", "{}");
    CHECK_FALSE(state.eligibility.is_leaving(backend_server_name("s1")));
}
