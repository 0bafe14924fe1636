#include <doctest/doctest.h>

#include <fmt/format.h>

#include "support/generation_parts.hpp"
#include "support/request_headers.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::break_after;
using dragonflywell::testing::count_runs;
using dragonflywell::testing::decode;
using dragonflywell::testing::get;
using dragonflywell::testing::make_events;
using dragonflywell::testing::prefill;
using dragonflywell::testing::serving_fixture;
namespace asio = boost::asio;

TEST_CASE_FIXTURE(serving_fixture, "a stream that must not be retried is cut where it broke, and runs once") {
    configure();
    add_server("p", prefill, read_prompts());
    const raw_server& first = add_server("d1", decode, break_after(2));
    const raw_server& second = add_server("d2", decode, break_after(2));
    const answer got = generate("/gen/x");
    CHECK(got.status == 200);
    CHECK(got.is_cut);
    CHECK(got.body == make_events(1, 2));
    CHECK(count_runs(first) + count_runs(second) == 1);
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a resumable stream continues on another engine without a missing or repeated event") {
    configure();
    add_server("p", prefill, read_prompts());
    SUBCASE("cut after an event") {
        add_server("d1", decode, break_after(2));
    }
    SUBCASE("cut within an event") {
        add_server("d1", decode, break_after(2, true));
    }
    const raw_server& second = add_server("d2", decode, stream_events(3, 5));
    state.find_engines(service_name("llm"))->load_tracker.start_decode(backend_server_name("d2"), 5000, {});
    const answer got = generate("/resume/x");
    CHECK(got.status == 200);
    CHECK_FALSE(got.is_cut);
    CHECK(got.body == make_events(1, 5));
    CHECK(got.headers.at("Dragonflywell-Server-Seal") == "first seal");
    CHECK(get(second.get_requests().at(0), "Last-Event-Id") == "2");
}

TEST_CASE_FIXTURE(serving_fixture, "the Last-Event-Id of a caller is forwarded") {
    configure();
    add_server("p", prefill, read_prompts());
    const raw_server& decode_engine = add_server("d", decode, stream_events(4, 5));
    auto headers = get_headers();
    headers.emplace_back("Last-Event-Id", "3");
    CHECK(generate("/resume/x", headers).body == make_events(4, 5));
    CHECK(get(decode_engine.get_requests().at(0), "Last-Event-Id") == "3");
}

TEST_CASE_FIXTURE(serving_fixture,
                  "a stream that breaks on every engine is cut after the configured number of attempts") {
    configure();
    add_server("p", prefill, read_prompts());
    for (const char* name : {"d1", "d2", "d3"}) {
        add_server(name, decode, break_after(2));
    }
    const answer got = generate("/resume/x");
    CHECK(got.is_cut);
    std::size_t runs = 0;
    for (const char* name : {"d1", "d2", "d3"}) {
        runs += count_runs(*added.at(name));
    }
    CHECK(runs == 2);
}

TEST_CASE_FIXTURE(serving_fixture, "the load of an engine returns to zero when its requests end, however they end") {
    configure();
    add_server("p", prefill, read_prompts());
    SUBCASE("completed") {
        add_server("d", decode, stream_events(1, 2));
    }
    SUBCASE("cut") {
        add_server("d", decode, break_after(1));
    }
    SUBCASE("refused") {
        add_server("d", decode, refuse());
    }
    generate("/gen/x");
    const policy::engine_load_tracker& load_tracker = state.find_engines(service_name("llm"))->load_tracker;
    CHECK(load_tracker.get_running(backend_server_name("d")) == 0);
    CHECK(load_tracker.get_backlog(backend_server_name("p"), time.now()) == duration::zero());
}

TEST_CASE_FIXTURE(serving_fixture, "a stream with an event that exceeds the size limit is aborted") {
    configure();
    add_server("p", prefill, read_prompts());
    add_server("d", decode,
               [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   constexpr std::size_t event_bytes = 2UL * 1024 * 1024;
                   std::string bytes = serving_fixture::make_stream_head(request, "seal");
                   bytes += serving_fixture::make_chunk("id: 1\ndata: " + std::string(event_bytes, 'a'));
                   co_await connection.write(std::move(bytes));
                   co_await connection.wait_for_end();
               });
    CHECK(generate("/gen/x").status == 502);
}

TEST_CASE_FIXTURE(serving_fixture, "an error of the engine that should resume a stream does not get into the stream") {
    configure();
    add_server("p", prefill, read_prompts());
    add_server("d1", decode, break_after(2, true));
    std::size_t resumed = 0;
    standin::raw_server::behaviour error;
    SUBCASE("an error with a seal") {
        error = answer_with(500, "engine error");
    }
    SUBCASE("an error without a seal") {
        error = [](const servers::http_request&, raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.write("HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror");
        };
    }
    SUBCASE("an error without a length") {
        error = [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.write(fmt::format("HTTP/1.1 500 X\r\nDragonflywell-Attempt-Id: {}\r\n"
                                                  "Dragonflywell-Server-Seal: seal\r\n\r\ndata: error\n\n",
                                                  get_id(request)));
            connection.close();
        };
    }
    SUBCASE("a success that is no stream") {
        error = answer_with(200, "{\"error\":\"engine error\"}\n\n");
    }
    add_server("d2", decode,
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   ++resumed;
                   co_await error(request, connection);
               });
    // The engine that breaks the stream is chosen first if the other one looks busy.
    state.find_engines(service_name("llm"))->load_tracker.start_decode(backend_server_name("d2"), 10'000, {});
    const answer got = generate("/resume/x");
    CHECK(resumed == 1);
    CHECK(got.status == 200);
    CHECK(got.is_cut);
    CHECK(got.body == make_events(1, 2));
}
