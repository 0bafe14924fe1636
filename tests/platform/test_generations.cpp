#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

namespace {

constexpr auto prefill = fleet::engine_stage::prefill;
constexpr auto decode = fleet::engine_stage::decode;

std::string get(const servers::http_request& request, const std::string& name) {
    return std::string(request[name]);
}

std::string make_events(int first, int last) {
    std::string events;
    for (int number = first; number <= last; ++number) {
        events += serving_fixture::make_event(number);
    }
    return events;
}

/// Sends the events 1 to `last` and then closes the connection, in the middle of the next event if `within_event` is
/// set.
raw_server::behaviour break_after(int last, bool within_event = false) {
    return [last, within_event](const servers::http_request& request,
                                raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = serving_fixture::make_stream_head(request, "first seal");
        bytes += serving_fixture::make_chunk(make_events(1, last));
        if (within_event) {
            bytes += serving_fixture::make_chunk("id: 99\nda");
        }
        co_await connection.write(std::move(bytes));
        connection.close();
    };
}

std::size_t count_runs(const raw_server& server) {
    return static_cast<std::size_t>(
        std::count_if(server.get_requests().begin(), server.get_requests().end(),
                      [](const servers::http_request& request) { return request.method() == http::verb::post; }));
}

} // namespace

TEST_CASE_FIXTURE(serving_fixture, "one engine runs the prefill and another the decode, and events arrive in order") {
    configure();
    const raw_server& prefill_engine = add_server("p", prefill, read_prompts("h7"));
    const raw_server& decode_engine = add_server("d", decode, stream_events(1, 3));
    const answer got = generate("/gen/x");
    CHECK(got.status == 200);
    CHECK_FALSE(got.is_cut);
    CHECK(got.body == make_events(1, 3));
    CHECK(got.headers.at("Dragonflywell-Server-Seal") == "seal");
    CHECK(get(prefill_engine.get_requests().at(0), "Dragonflywell-Stage") == "prefill");
    CHECK(get(prefill_engine.get_requests().at(0), "Dragonflywell-Prompt-Prefix") == "a1:60,b2:40");
    const servers::http_request& run = decode_engine.get_requests().at(0);
    CHECK(get(run, "Dragonflywell-Kv-Source") == format_endpoint(prefill_engine.get_endpoint()) + "/h7");
    CHECK(run.find("Dragonflywell-Stage") == run.end());
    CHECK(run.body() == "prompt");
    // What has been read goes before what the engine still has to read.
    CHECK(get(run, "Dragonflywell-Request-Urgency") == "0");
    CHECK(get(prefill_engine.get_requests().at(0), "Dragonflywell-Request-Urgency") != "0");
}

TEST_CASE_FIXTURE(serving_fixture,
                  "an engine is told from which other engine it can fetch the cached prefix of the prompt") {
    configure();
    const raw_server& busy = add_server("p1", prefill, read_prompts());
    const raw_server& idle = add_server("p2", prefill, read_prompts());
    add_server("d", decode, stream_events(1, 1));
    policy::engine_load_tracker& load_tracker = state.find_engines(service_name("llm"))->load_tracker;
    load_tracker.record_prefix_access(backend_server_name("p1"),
                                      std::array{policy::prefix_block{.id = 0xa1, .tokens = 6000}});
    load_tracker.start_prefill(backend_server_name("p1"),
                               {.number = 999, .sent_at = time.now(), .cost = std::chrono::seconds(9)}, {});
    auto headers = get_headers();
    headers.emplace_back("Dragonflywell-Model", "m");
    headers.emplace_back("Dragonflywell-Token-Count", "7000,10");
    headers.emplace_back("Dragonflywell-Prompt-Prefix", "a1:6000,b2:1000");
    headers.emplace_back("Kv-Fetch", "10.0.0.1:80");
    CHECK(ask(http::verb::post, "/gen/x", "prompt", headers).status == 200);
    CHECK(busy.get_requests().empty());
    CHECK(get(idle.get_requests().at(0), "Kv-Fetch") == format_endpoint(busy.get_endpoint()));
}

TEST_CASE_FIXTURE(serving_fixture, "a caller cannot choose the KV cache from which its request is decoded") {
    configure();
    add_server("p", prefill, read_prompts("ours"));
    const raw_server& decode_engine = add_server("d", decode, stream_events(1, 1));
    auto headers = get_headers();
    headers.emplace_back("Dragonflywell-Kv-Source", "10.0.0.1:80/theirs");
    headers.emplace_back("Dragonflywell-Stage", "prefill");
    CHECK(generate("/gen/x", headers).status == 200);
    CHECK(get(decode_engine.get_requests().at(0), "Dragonflywell-Kv-Source").ends_with("/ours"));
    CHECK(decode_engine.get_requests().at(0).find("Dragonflywell-Stage") == decode_engine.get_requests().at(0).end());
}

TEST_CASE_FIXTURE(serving_fixture, "a prefill is repeated on another engine when the first one refuses it or fails") {
    configure();
    SUBCASE("refused") {
        add_server("p1", prefill, refuse());
    }
    SUBCASE("connection closed") {
        add_server("p1", prefill, reset());
    }
    SUBCASE("unreachable") {
        add_server("p1", prefill, reset()).stop_listening();
    }
    SUBCASE("malformed response") {
        add_server("p1", prefill, answer_with(200, "nonsense"));
    }
    const raw_server& second = add_server("p2", prefill, read_prompts());
    const raw_server& decode_engine = add_server("d", decode, stream_events(1, 2));
    // A higher load is set for the second engine, so that the first one is chosen first, and one that is higher still
    // for the decode engine, so that it does not run the prefill itself.
    const std::vector<policy::prefill_job> prompts{
        {.number = 1, .sent_at = time.now(), .cost = std::chrono::seconds(9)}};
    const std::vector<policy::prefill_job> more_prompts{
        {.number = 2, .sent_at = time.now(), .cost = std::chrono::seconds(30)}};
    state.find_engines(service_name("llm"))
        ->load_tracker.set_host_load(
            "other",
            {{backend_server_name("p2"), {.prompts = prompts}}, {backend_server_name("d"), {.prompts = more_prompts}}},
            time.now());
    const answer got = generate("/gen/x");
    CHECK(got.status == 200);
    CHECK(got.body == make_events(1, 2));
    CHECK(second.get_requests().size() == 1);
    CHECK(count_runs(decode_engine) == 1);
}

TEST_CASE_FIXTURE(serving_fixture, "a decode that an engine refuses is retried once on another") {
    configure();
    const raw_server& prefill_engine = add_server("p", prefill, read_prompts());
    add_server("d1", decode, refuse());
    const raw_server& second = add_server("d2", decode, stream_events(1, 2));
    state.find_engines(service_name("llm"))->load_tracker.start_decode(backend_server_name("d2"), 5000, {});
    const answer got = generate("/gen/x");
    CHECK(got.status == 200);
    CHECK(got.body == make_events(1, 2));
    CHECK(count_runs(second) == 1);
    // The KV cache that the refusing engine did not fetch is released.
    run_until(loop, [&] {
        return std::any_of(prefill_engine.get_requests().begin(), prefill_engine.get_requests().end(),
                           [](const auto& request) { return request.method() == http::verb::delete_; });
    });
}

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

TEST_CASE_FIXTURE(serving_fixture, "a refusal reports that a request has not run only when that is certain") {
    configure();
    add_server("p", prefill, read_prompts());
    SUBCASE("there is no engine for the decode") {
        CHECK(generate("/gen/x").status == 503);
    }
    SUBCASE("all engines refuse") {
        add_server("d", decode, refuse());
        CHECK(generate("/gen/x").status == 503);
    }
    SUBCASE("the engine may have run it") {
        add_server("d", decode, reset());
        CHECK(generate("/gen/x").status == 502);
    }
}

TEST_CASE_FIXTURE(serving_fixture, "an error response of an engine is forwarded unchanged") {
    configure();
    add_server("p", prefill, read_prompts());
    raw_server& engine = add_server("d", decode, reset());
    for (const unsigned status : {500U, 529U}) {
        CAPTURE(status);
        engine.set_behaviour(answer_with(status, "out of memory"));
        const answer got = generate("/gen/x");
        CHECK(got.status == status);
        CHECK(got.body == "out of memory");
        CHECK(got.headers.at("Dragonflywell-Server-Seal") == "seal");
    }
}

TEST_CASE_FIXTURE(serving_fixture, "without a prefill engine the decode engine gets the whole request") {
    configure();
    const raw_server& decode_engine = add_server("d", decode, stream_events(1, 2));
    CHECK(generate("/gen/x").body == make_events(1, 2));
    CHECK(decode_engine.get_requests().at(0).find("Dragonflywell-Kv-Source") ==
          decode_engine.get_requests().at(0).end());
}

TEST_CASE_FIXTURE(serving_fixture, "when the caller disconnects, its stream is cancelled on the engine") {
    configure();
    add_server("p", prefill, read_prompts());
    bool has_ended = false;
    add_server("d", decode,
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   std::string bytes = make_stream_head(request) + make_chunk(make_event(1));
                   co_await connection.write(std::move(bytes));
                   co_await connection.wait_for_end();
                   has_ended = true;
                   connection.close();
               });
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        const std::string bytes =
            "POST /gen/x HTTP/1.1\r\nHost: host.example\r\nDragonflywell-Attempt-Id: a1\r\nApi-Key: secret\r\n"
            "Dragonflywell-Model: m\r\nDragonflywell-Token-Count: 100,10\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        std::string piece(4096, '\0');
        co_await socket.async_read_some(asio::buffer(piece), asio::use_awaitable);
    });
    run_until(loop, [&] { return has_ended; });
    CHECK(has_ended);
    CHECK(state.find_engines(service_name("llm"))->load_tracker.get_running(backend_server_name("d")) <= 1);
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

TEST_CASE_FIXTURE(serving_fixture,
                  "an expired stage change of this host is not announced while another host changes the same engine") {
    configure();
    const backend_server_name engine("d");
    add_server("d", decode, stream_events(1, 1));
    state.begin_stage_change(engine, prefill, time.now() + std::chrono::minutes(1));
    CHECK(state.get_own_transitions().size() == 1);
    state.begin_stage_change(engine, prefill, time.now() - std::chrono::seconds(1));
    servers::host_digest digest;
    digest.host = "other";
    digest.transitions = {{engine, {.stage = prefill, .remaining = std::chrono::minutes(1)}}};
    state.peers.merge_group_digest(digest);
    CHECK(state.is_changing_stage(engine));
    CHECK(state.get_own_transitions().empty());
}

TEST_CASE_FIXTURE(serving_fixture,
                  "an engine that several other hosts avoid is used only when no other engine is left") {
    configure();
    add_server("p", prefill, read_prompts());
    const raw_server& bad = add_server("bad", decode, refuse());
    const auto tell = [this](const std::string& host) {
        servers::host_digest digest;
        digest.host = host;
        digest.ejections = {{backend_server_name("bad"), std::chrono::minutes(1)}};
        state.peers.merge_group_digest(digest);
    };
    SUBCASE("two hosts report it as failing") {
        add_server("good", decode, stream_events(1, 2));
        tell("h1");
        tell("h2");
        for (int request = 0; request < 10; ++request) {
            CHECK(generate("/gen/x").status == 200);
        }
        CHECK(bad.get_requests().empty());
    }
    SUBCASE("it is the only one") {
        tell("h1");
        tell("h2");
        CHECK(generate("/gen/x").status == 503);
        CHECK_FALSE(bad.get_requests().empty());
    }
    SUBCASE("one host alone is not enough") {
        tell("h1");
        CHECK_FALSE(state.is_degraded(backend_server_name("bad")));
    }
}

TEST_CASE_FIXTURE(serving_fixture, "an engine that does not respond to a request gets no further requests") {
    configure();
    add_server("p", prefill, read_prompts());
    const raw_server& unresponsive = add_server("dark", decode, refuse());
    add_server("good", decode, stream_events(1, 2));
    // A higher load is set for the responsive engine, so that requests would go to the unresponsive one.
    state.find_engines(service_name("llm"))->load_tracker.start_decode(backend_server_name("good"), 5000, {});
    const policy::stall_detector::pending_request waiting =
        state.stalls.track(backend_server_name("dark"), time.now() - std::chrono::seconds(5), duration::zero());
    CHECK(state.get_ejected().contains(backend_server_name("dark")));
    CHECK(generate("/gen/x").status == 200);
    CHECK(count_runs(unresponsive) == 0);
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

TEST_CASE_FIXTURE(serving_fixture, "a request whose caller will have left before the first event is rejected at once") {
    view.routes[3].caller_patience = std::chrono::seconds(2);
    configure();
    const raw_server& prefill_engine = add_server("p", prefill, read_prompts());
    const raw_server& decode_engine = add_server("d", decode, stream_events(1, 1));
    const std::vector<policy::prefill_job> prompts{
        {.number = 1, .sent_at = time.now(), .cost = std::chrono::seconds(30)}};
    policy::engine_load_tracker& load_tracker = state.find_engines(service_name("llm"))->load_tracker;
    load_tracker.set_host_load(
        "other", {{backend_server_name("p"), {.prompts = prompts}}, {backend_server_name("d"), {.prompts = prompts}}},
        time.now());
    const answer got = generate("/gen/x");
    CHECK(got.status == 503);
    CHECK(got.body.find("deadline_not_feasible") != std::string::npos);
    // The callers may return when the prompts before theirs are done.
    CHECK(std::stod(got.headers.at("Retry-After")) > 20);
    CHECK(prefill_engine.get_requests().empty());
    CHECK(decode_engine.get_requests().empty());
    // One whose caller waits long enough is sent.
    load_tracker.set_host_load("other", {}, time.now());
    CHECK(generate("/gen/x").status == 200);
}
