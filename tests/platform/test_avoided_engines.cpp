#include <doctest/doctest.h>

#include "support/generation_parts.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::count_runs;
using dragonflywell::testing::decode;
using dragonflywell::testing::prefill;
using dragonflywell::testing::serving_fixture;

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
