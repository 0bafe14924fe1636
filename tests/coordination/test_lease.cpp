#include <doctest/doctest.h>

#include "coordination/lease.hpp"
#include "support/drifting_clock.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

struct candidate {
    candidate(testing::fake_log& log, const clock_source& time, const char* host)
        : stream(log, "control/a", {.host = host, .incarnation = 1}), lease(stream, time, {.scope = "control/a"}) {}

    folded_stream stream;
    lease_candidate lease;
};

} // namespace

TEST_CASE("only the first of two candidates acquires the lease") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.lease.tick();
    second.lease.tick();
    CHECK(first.lease.get_authority().has_value());
    CHECK_FALSE(second.lease.get_authority().has_value());
}

TEST_CASE("a paused holder loses its authority before another candidate can acquire the lease") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.lease.tick();
    second.lease.tick();
    const fencing_token old_token = first.lease.get_authority().value();
    time.advance(std::chrono::seconds(10));
    second.lease.tick();
    CHECK_FALSE(first.lease.get_authority().has_value());
    CHECK_FALSE(second.lease.get_authority().has_value());
    time.advance(std::chrono::seconds(1));
    second.lease.tick();
    REQUIRE(second.lease.get_authority().has_value());
    CHECK(second.lease.get_authority()->number > old_token.number);
}

TEST_CASE("a record with the fencing token of a superseded holder is invalid") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.lease.tick();
    const fencing_token old_token = first.lease.get_authority().value();
    second.lease.tick();
    time.advance(std::chrono::seconds(11));
    second.lease.tick();
    REQUIRE(second.lease.get_authority().has_value());
    const record_draft order{.type = "order", .body = {}, .condition = {}, .fence = old_token};
    CHECK(first.stream.submit(std::span(&order, 1)).front().status == record_status::fenced);
}

TEST_CASE("a renewal keeps the fencing number, and a released lease can be acquired at once") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.lease.tick();
    const fencing_token token = first.lease.get_authority().value();
    time.advance(std::chrono::seconds(5));
    first.lease.tick();
    time.advance(std::chrono::seconds(5));
    CHECK(first.lease.get_authority() == token);
    first.lease.release();
    second.lease.tick();
    CHECK_FALSE(first.lease.get_authority().has_value());
    CHECK(second.lease.get_authority().has_value());
}

TEST_CASE("an acquisition whose response was lost is recognised, and its lease lasts from before it was sent") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    log.delays_next_append = true;
    CHECK_THROWS_AS(first.lease.tick(), log_unavailable_error);
    log.deliver_delayed_appends();
    time.advance(std::chrono::seconds(3));
    first.lease.tick();
    REQUIRE(first.lease.get_authority().has_value());
    CHECK(log.streams["control/a"].size() == 1);
    time.advance(std::chrono::seconds(5));
    CHECK_FALSE(first.lease.get_authority().has_value());
}

TEST_CASE("an acquisition that takes effect after its lease has expired gives no authority until it is renewed") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    log.delays_next_append = true;
    CHECK_THROWS_AS(first.lease.tick(), log_unavailable_error);
    time.advance(std::chrono::seconds(20));
    log.deliver_delayed_appends();
    first.stream.poll();
    CHECK_FALSE(first.lease.get_authority().has_value());
    first.lease.tick();
    CHECK(first.lease.get_authority().has_value());
    CHECK(log.streams["control/a"].size() == 2);
}

TEST_CASE("a renewal whose response was lost extends the lease from the time at which it was sent") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    first.lease.tick();
    time.advance(std::chrono::seconds(5));
    log.delays_next_append = true;
    CHECK_THROWS_AS(first.lease.tick(), log_unavailable_error);
    time.advance(std::chrono::seconds(2));
    log.deliver_delayed_appends();
    first.lease.tick();
    time.advance(std::chrono::seconds(5));
    CHECK(first.lease.get_authority().has_value());
    time.advance(std::chrono::seconds(1));
    CHECK_FALSE(first.lease.get_authority().has_value());
}

TEST_CASE("a late acquisition gives no authority if another candidate acquired the lease first") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    log.delays_next_append = true;
    CHECK_THROWS_AS(first.lease.tick(), log_unavailable_error);
    second.lease.tick();
    log.deliver_delayed_appends();
    first.lease.tick();
    CHECK_FALSE(first.lease.get_authority().has_value());
    CHECK(second.lease.get_authority().has_value());
}

TEST_CASE("after a release was lost, the former holder has no authority and the lease expires by time") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.lease.tick();
    second.lease.tick();
    log.is_down = true;
    CHECK_THROWS_AS(first.lease.release(), log_unavailable_error);
    log.is_down = false;
    first.lease.tick();
    CHECK_FALSE(first.lease.get_authority().has_value());
    time.advance(std::chrono::seconds(11));
    second.lease.tick();
    CHECK(second.lease.get_authority().has_value());
}

TEST_CASE("two hosts never have authority at once while their clocks drift within the margin") {
    constexpr double drift = 0.04;
    for (const double first_rate : {1 - drift, 1.0, 1 + drift}) {
        for (const double second_rate : {1 - drift, 1.0, 1 + drift}) {
            testing::fake_log log;
            virtual_clock truth;
            const testing::drifting_clock first_time(truth, first_rate);
            const testing::drifting_clock second_time(truth, second_rate);
            candidate first(log, first_time, "host-1");
            candidate second(log, second_time, "host-2");
            first.lease.tick();
            bool has_second_acquired = false;
            for (int step = 0; step < 200; ++step) {
                second.lease.tick();
                has_second_acquired = has_second_acquired || second.lease.get_authority().has_value();
                // The first host is paused and reads nothing, so only its own clock can end its authority.
                CHECK_FALSE((first.lease.get_authority() && second.lease.get_authority()));
                truth.advance(std::chrono::milliseconds(100));
            }
            CHECK(has_second_acquired);
        }
    }
}

TEST_CASE("lease options under which authority ends before each renewal are refused with all problems listed") {
    const lease_options options{.scope = "",
                                .length = std::chrono::seconds(4),
                                .renew_before = std::chrono::seconds(4),
                                .drift_margin = {},
                                .order_deadline = std::chrono::seconds(4)};
    try {
        check_lease_options(options);
        FAIL("accepted");
    } catch (const invalid_input_error& fault) {
        CHECK(fault.problems().size() == 4);
    }
}

TEST_CASE("only the holder itself may renew or release its lease") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.lease.tick();
    const record_draft release{
        .type = std::string(lease_release_type), .body = {}, .condition = {}, .fence = first.lease.get_authority()};
    CHECK(second.stream.submit(std::span(&release, 1)).front().status == record_status::fenced);
}
