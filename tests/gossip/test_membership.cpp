#include "gossip/membership.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using namespace std::chrono_literals;

namespace {

struct fixture {
    virtual_clock clock;
    policy::host_groups groups{"a", zone_name("z"), {}};
    gossip::membership members{"a", groups};
    std::uint64_t sequence{0};

    fixture() {
        for (const char* host : {"b", "c"}) {
            members.add(host, zone_name("z"), {boost::asio::ip::make_address("127.0.0.1"), 1});
        }
        static_cast<void>(members.update_groups());
    }

    servers::host_digest make_digest(const std::string& host, std::uint64_t incarnation = 1) {
        servers::host_digest digest;
        digest.host = host;
        digest.incarnation = incarnation;
        digest.sequence = ++sequence;
        digest.corrected_time = clock.wall_now();
        return digest;
    }

    std::optional<gossip::membership::sender> accept(const servers::host_digest& digest) {
        return members.accept(digest, clock.wall_now(), clock.now());
    }

    [[nodiscard]] bool leads(std::string_view without = {}) const {
        return members.leads_group({.host = "b2"}, without);
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "digests of unlisted hosts, of earlier incarnations and older ones are ignored") {
    const servers::host_digest older = make_digest("b", 2);
    CHECK(accept(make_digest("b", 2)));
    CHECK_FALSE(accept(older));
    CHECK_FALSE(accept(make_digest("b", 1)));
    CHECK_FALSE(accept(make_digest("x")));
    CHECK(members.count_reachable() == 1);
}

// Guards against BUDGET: a host that was cut off missed the announcements of a request that crashes servers.
TEST_CASE_FIXTURE(fixture, "a host is a newcomer when it starts, when it restarts, and when it was silent") {
    CHECK(accept(make_digest("b"))->is_newcomer);
    CHECK_FALSE(accept(make_digest("b"))->is_newcomer);
    CHECK(accept(make_digest("b", 2))->is_newcomer);
    clock.advance(2501ms);
    const std::vector<gossip::membership::lost_host> lost = members.take_lost(clock.now());
    REQUIRE(lost.size() == 1);
    CHECK(lost[0].name == "b");
    CHECK(members.take_lost(clock.now()).empty());
    CHECK(accept(make_digest("b", 2))->is_newcomer);
    CHECK_FALSE(accept(make_digest("b", 2))->is_newcomer);
}

TEST_CASE_FIXTURE(fixture, "a silent host does not lead, and the question can leave a host out") {
    CHECK(leads());
    CHECK(accept(make_digest("b")));
    CHECK_FALSE(leads());
    CHECK(leads("b"));
    clock.advance(3s);
    static_cast<void>(members.take_lost(clock.now()));
    CHECK(leads());
}

TEST_CASE_FIXTURE(fixture, "a host of the group that stays away is reported once as dead") {
    CHECK(accept(make_digest("b")));
    clock.advance(3s);
    static_cast<void>(members.take_lost(clock.now()));
    CHECK(members.take_dead(clock.now(), 60s).empty());
    clock.advance(61s);
    CHECK(members.take_dead(clock.now(), 60s) == std::vector<std::string>{"b"});
    CHECK(members.take_dead(clock.now(), 60s).empty());
}

TEST_CASE_FIXTURE(fixture,
                  "the delay of a datagram is what it took beyond the fastest one, and unknown for other hosts") {
    CHECK(accept(make_digest("b"))->delay == 0ms);
    const wall_time sent_at = clock.wall_now();
    clock.advance(2s);
    CHECK(members.measure_delay("b", sent_at, clock.wall_now(), clock.now()) == 2s);
    CHECK(members.measure_delay("x", sent_at, clock.wall_now(), clock.now()) == 0s);
    members.on_clock_corrected(5s);
    CHECK(members.measure_delay("b", sent_at, clock.wall_now(), clock.now()) == 0s);
}
