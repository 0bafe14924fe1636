#include "policy/server_eligibility.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using namespace std::chrono_literals;
using policy::ineligibility;
using policy::server_eligibility;

namespace {

const backend_server_name server("s1");

fleet::server_record make_record(std::int64_t started_at_ms) {
    return {.id = server,
            .service = service_name("s"),
            .address = {.address = "10.0.0.1", .port = 80},
            .zone = zone_name("z"),
            .started_at_ms = started_at_ms};
}

/// One listed server, and a drain bound of 2 s.
struct fixture {
    virtual_clock time;
    server_eligibility eligibility{{.drain_bound = 2s}};

    fixture() {
        eligibility.get_list().apply(make_record(1), time.now());
        eligibility.set_list_current_at(time.now());
    }

    [[nodiscard]] std::optional<ineligibility> get_refusal() const {
        return eligibility.get_belief(server, time.now()).refusal;
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "whoever says that a server takes no work, the list or the server, it gets none") {
    CHECK_FALSE(get_refusal());
    SUBCASE("its entry says that it drains") {
        fleet::server_record leaving = make_record(1);
        leaving.is_draining = true;
        eligibility.get_list().apply(leaving, time.now());
        CHECK(get_refusal() == ineligibility::draining);
        CHECK(eligibility.is_leaving(server));
    }
    SUBCASE("it said in a response that it leaves") {
        eligibility.record_leaving(server, 1);
        CHECK(get_refusal() == ineligibility::leaving);
        CHECK(eligibility.is_leaving(server));
    }
    SUBCASE("its entry was removed") {
        eligibility.get_list().remove(server, time.now());
        CHECK(get_refusal() == ineligibility::unlisted);
    }
    SUBCASE("a server that started later has its address") {
        fleet::server_record later = make_record(2);
        later.id = backend_server_name("s2");
        eligibility.get_list().apply(later, time.now());
        CHECK(get_refusal() == ineligibility::address_taken);
    }
    CHECK_FALSE(eligibility.may_get_work(server, time.now()));
    CHECK_FALSE(eligibility.is_staying(server, time.now()));
    eligibility.get_list().apply(make_record(3), time.now());
    CHECK(eligibility.may_get_work(server, time.now()));
}

TEST_CASE_FIXTURE(fixture, "a server that asked for a pause stays, and gets work after it") {
    const duration pause = eligibility.record_pause(server, 500ms, 0, time.now());
    CHECK(get_refusal() == ineligibility::paused);
    CHECK(eligibility.is_staying(server, time.now()));
    time.advance(pause);
    CHECK_FALSE(get_refusal());
}

TEST_CASE_FIXTURE(fixture, "a server at whose address another one answered gets no work until its entry changes or "
                           "some heartbeats have passed") {
    eligibility.record_mismatch(server, time.now());
    CHECK(get_refusal() == ineligibility::mismatched);
    CHECK_FALSE(eligibility.may_get_work(server, time.now()));
    SUBCASE("a new run") {
        eligibility.get_list().apply(make_record(2), time.now());
    }
    SUBCASE("a new address") {
        time.advance(1ms);
        fleet::server_record moved = make_record(1);
        moved.address.port = 81;
        eligibility.get_list().apply(moved, time.now());
    }
    SUBCASE("another stage") {
        time.advance(1ms);
        fleet::server_record changed = make_record(1);
        changed.stage = fleet::engine_stage::prefill;
        eligibility.get_list().apply(changed, time.now());
    }
    SUBCASE("the same entry again, for three seconds") {
        for (int beat = 0; beat < 2; ++beat) {
            time.advance(1200ms);
            eligibility.get_list().apply(make_record(1), time.now());
            CHECK(get_refusal() == ineligibility::mismatched);
        }
        time.advance(600ms);
    }
    CHECK(eligibility.may_get_work(server, time.now()));
}

TEST_CASE_FIXTURE(fixture, "a belief is as old as the newest confirmation, by the list or by a response") {
    time.advance(1700ms);
    CHECK(eligibility.get_belief(server, time.now()).age == 1700ms);
    CHECK(eligibility.is_uncertain(server, time.now()));
    eligibility.record_response(server, 1, time.now() - 300ms);
    CHECK(eligibility.get_belief(server, time.now()).age == 300ms);
    CHECK_FALSE(eligibility.is_uncertain(server, time.now()));
    // A response that was asked for earlier does not make the belief older.
    eligibility.record_response(server, 1, time.now() - 900ms);
    CHECK(eligibility.get_belief(server, time.now()).age == 300ms);
    // What an earlier run said does not speak for the present one.
    eligibility.get_list().apply(make_record(2), time.now());
    CHECK(eligibility.get_belief(server, time.now()).age == 1700ms);
    CHECK(eligibility.may_get_work(server, time.now()));
}

TEST_CASE_FIXTURE(fixture, "an old belief still applies, so that a host without news serves") {
    time.advance(1h);
    CHECK(eligibility.may_get_work(server, time.now()));
    CHECK(eligibility.is_uncertain(server, time.now()));
}
