#include <doctest/doctest.h>

#include "servers/peer_knowledge.hpp"

using namespace dragonflywell;
using fleet::engine_stage;

namespace {

const backend_server_name engine("i-1");

servers::host_digest make_digest(std::uint64_t incarnation, bool is_changing) {
    servers::host_digest digest;
    digest.host = "h1";
    digest.incarnation = incarnation;
    if (is_changing) {
        digest.transitions.emplace(
            engine, servers::digest_transition{.stage = engine_stage::prefill, .left = std::chrono::seconds(8)});
    }
    return digest;
}

struct knowledge_fixture {
    virtual_clock time;
    servers::peer_knowledge peers{time, policy::host_groups("h0", zone_name("a"), {})};
};

} // namespace

TEST_CASE_FIXTURE(knowledge_fixture, "an engine that a host has ordered is changing until that host says otherwise") {
    peers.take_far(make_digest(1, true));
    CHECK(peers.get_transition(engine) == engine_stage::prefill);
    peers.take_far(make_digest(1, false));
    CHECK_FALSE(peers.get_transition(engine).has_value());
}

TEST_CASE_FIXTURE(knowledge_fixture, "an engine goes on changing when the host that ordered it falls silent") {
    peers.take_near(make_digest(1, true));
    peers.drop("h1");
    CHECK(peers.get_transition(engine) == engine_stage::prefill);
    time.advance(std::chrono::seconds(8));
    CHECK_FALSE(peers.get_transition(engine).has_value());
}

TEST_CASE_FIXTURE(knowledge_fixture, "an engine goes on changing when the host that ordered it starts anew") {
    peers.take_far(make_digest(1, true));
    peers.take_far(make_digest(2, false));
    CHECK(peers.get_transition(engine) == engine_stage::prefill);
    time.advance(std::chrono::seconds(8));
    CHECK_FALSE(peers.get_transition(engine).has_value());
}

TEST_CASE_FIXTURE(knowledge_fixture, "hosts of the group that leave a server alone are counted while they do") {
    for (const char* host : {"h1", "h2"}) {
        servers::host_digest digest = make_digest(1, false);
        digest.host = host;
        digest.paused = {{engine, std::chrono::milliseconds(300)}};
        peers.take_near(digest);
    }
    CHECK(peers.count_pausing(engine) == 2);
    CHECK(peers.count_pausing(backend_server_name("i-2")) == 0);
    peers.take_near(make_digest(1, false));
    CHECK(peers.count_pausing(engine) == 1);
    time.advance(std::chrono::milliseconds(300));
    CHECK(peers.count_pausing(engine) == 0);
}
