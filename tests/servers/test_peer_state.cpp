#include <doctest/doctest.h>

#include "servers/peer_state.hpp"

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
            engine, servers::digest_transition{.stage = engine_stage::prefill, .remaining = std::chrono::seconds(8)});
    }
    return digest;
}

struct peer_state_fixture {
    virtual_clock time;
    servers::peer_state peers{time, policy::host_groups("h0", zone_name("a"), {})};
};

} // namespace

TEST_CASE_FIXTURE(peer_state_fixture,
                  "an engine counts as changing its stage until the host that ordered the change withdraws it") {
    peers.merge_intergroup_digest(make_digest(1, true));
    CHECK(peers.get_transition(engine) == engine_stage::prefill);
    peers.merge_intergroup_digest(make_digest(1, false));
    CHECK_FALSE(peers.get_transition(engine).has_value());
}

TEST_CASE_FIXTURE(peer_state_fixture,
                  "an engine still counts as changing its stage when the host that ordered it becomes unresponsive") {
    peers.merge_group_digest(make_digest(1, true));
    peers.remove_host("h1");
    CHECK(peers.get_transition(engine) == engine_stage::prefill);
    time.advance(std::chrono::seconds(8));
    CHECK_FALSE(peers.get_transition(engine).has_value());
}

TEST_CASE_FIXTURE(peer_state_fixture,
                  "an engine still counts as changing its stage when the host that ordered it restarts") {
    peers.merge_intergroup_digest(make_digest(1, true));
    peers.merge_intergroup_digest(make_digest(2, false));
    CHECK(peers.get_transition(engine) == engine_stage::prefill);
    time.advance(std::chrono::seconds(8));
    CHECK_FALSE(peers.get_transition(engine).has_value());
}

TEST_CASE_FIXTURE(peer_state_fixture,
                  "hosts of the group that have ejected a server are counted until their ejections end") {
    for (const char* host : {"h1", "h2"}) {
        servers::host_digest digest = make_digest(1, false);
        digest.host = host;
        digest.ejections = {{engine, std::chrono::milliseconds(300)}};
        peers.merge_group_digest(digest);
    }
    CHECK(peers.count_ejecting_hosts(engine) == 2);
    CHECK(peers.count_ejecting_hosts(backend_server_name("i-2")) == 0);
    peers.merge_group_digest(make_digest(1, false));
    CHECK(peers.count_ejecting_hosts(engine) == 1);
    time.advance(std::chrono::milliseconds(300));
    CHECK(peers.count_ejecting_hosts(engine) == 0);
}
