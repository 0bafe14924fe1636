#include <doctest/doctest.h>

#include <algorithm>
#include <array>

#include "support/generation_parts.hpp"
#include "support/request_headers.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::count_runs;
using dragonflywell::testing::decode;
using dragonflywell::testing::get;
using dragonflywell::testing::make_events;
using dragonflywell::testing::prefill;
using dragonflywell::testing::run_until;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;

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
