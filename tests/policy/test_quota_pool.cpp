#include "policy/quota_pool.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start = steady_time(1h);
const quota_subject subject("a");
/// 100 per second, and 50 at once.
const policy::quota_limit limit{.rate_per_second = 100, .capacity = 50, .restart_level = 0};

/// A host that talks to the pool, with a clock that is the same as the pool's.
struct asking_host {
    std::string name;
    std::uint64_t sequence{0};
    std::uint64_t owner_incarnation{0};
    duration owner_time{};
    double used{0};
    std::optional<double> named_limit{std::nullopt};
    policy::quota_start start{policy::quota_start::none};

    policy::quota_request make_request(double waiting, steady_time sent_at) {
        policy::quota_request request;
        request.host = name;
        request.incarnation = 1;
        request.sequence = ++sequence;
        request.owner_incarnation = owner_incarnation;
        request.owner_time = owner_time;
        request.held_for = sent_at.time_since_epoch() - owner_time;
        request.pledge = owner_incarnation == 0 ? policy::quota_pledge::none : policy::quota_pledge::pledged;
        request.start = start;
        request.needs.push_back(
            {.subject = subject, .used_total = used, .waiting = waiting, .named_limit = named_limit});
        return request;
    }

    double ask(policy::quota_pool& pool, double waiting, steady_time now) {
        const std::optional<policy::quota_grant> answer = pool.apply(make_request(waiting, now), now);
        REQUIRE(answer);
        owner_incarnation = answer->incarnation;
        owner_time = answer->time;
        const double granted = answer->allowances.empty() ? 0 : answer->allowances.front().granted;
        used += granted;
        return granted;
    }
};

policy::quota_pool make_pool(std::size_t hosts) {
    policy::quota_pool pool("owner", 7, 0);
    pool.set_host_count(hosts, start);
    pool.set_limits({{subject, limit}}, start);
    return pool;
}

} // namespace

TEST_CASE("quota pool: it fills with the pledged shares and up to their capacity") {
    // Guards against a pool that grants what hosts that it does not reach use themselves.
    policy::quota_pool pool = make_pool(2);
    asking_host one{.name = "one"};
    asking_host two{.name = "two"};
    CHECK(one.ask(pool, 100, start) == 0);
    CHECK(pool.get_pledged_share() == 0);
    one.ask(pool, 0, start);
    CHECK(pool.get_pledged_share() == 0.5);
    CHECK(one.ask(pool, 100, start + 200ms) == doctest::Approx(10));
    CHECK(one.ask(pool, 0, start + 200ms) == 0);
    CHECK(one.ask(pool, 100, start + 1200ms) == doctest::Approx(25));
    CHECK(one.ask(pool, 0, start + 1200ms) == 0);
    two.ask(pool, 0, start + 1200ms);
    two.ask(pool, 0, start + 1200ms);
    CHECK(pool.get_pledged_share() == 1);
    CHECK(one.ask(pool, 100, start + 1300ms) == doctest::Approx(10));
}

TEST_CASE("quota pool: a pledge ends by the time at which its request was sent") {
    // Guards against a share that counts here and at another owner, since its request was late.
    policy::quota_pool pool = make_pool(2);
    asking_host one{.name = "one"};
    one.ask(pool, 0, start);
    const policy::quota_request late = one.make_request(0, start + 100ms);
    CHECK(pool.apply(late, start + 900ms));
    CHECK(pool.get_pledged_share() == 0.5);
    // Another host asks when the pledge that began at 100 ms has ended.
    asking_host two{.name = "two"};
    CHECK(two.ask(pool, 100, start + 1200ms) == 0);
    CHECK(pool.get_pledged_share() == 0);
    const policy::quota_request too_late = one.make_request(0, start + 1600ms);
    CHECK(pool.apply(too_late, start + 4s));
    CHECK(pool.get_pledged_share() == 0);
}

TEST_CASE("quota pool: duplicated and overtaken requests change nothing") {
    // Guards against a grant, or a return, that counts twice.
    policy::quota_pool pool = make_pool(1);
    asking_host one{.name = "one"};
    one.ask(pool, 0, start);
    one.ask(pool, 0, start);
    const policy::quota_request earlier = one.make_request(5, start + 100ms);
    const policy::quota_request later = one.make_request(5, start + 100ms);
    CHECK(pool.apply(later, start + 100ms));
    CHECK_FALSE(pool.apply(later, start + 100ms));
    CHECK_FALSE(pool.apply(earlier, start + 100ms));
}

TEST_CASE("quota pool: what a host neither used nor keeps can be granted again") {
    // Guards against a quota that shrinks with each grant that is lost or not needed.
    policy::quota_pool pool = make_pool(1);
    asking_host one{.name = "one"};
    one.ask(pool, 0, start);
    one.ask(pool, 0, start);
    CHECK(one.ask(pool, 10, start + 100ms) == doctest::Approx(10));
    one.used -= 10;
    CHECK(one.ask(pool, 10, start + 100ms) == doctest::Approx(10));
    CHECK(one.ask(pool, 10, start + 100ms) == doctest::Approx(0));
}

TEST_CASE("quota pool: what may still be used takes up capacity") {
    // Guards against a window in which grants of the time before it are used besides a full bucket.
    policy::quota_pool pool = make_pool(1);
    asking_host one{.name = "one"};
    asking_host two{.name = "two"};
    one.ask(pool, 0, start);
    one.ask(pool, 0, start);
    two.ask(pool, 0, start);
    one.ask(pool, 0, start + 500ms);
    CHECK(one.ask(pool, 30, start + 500ms) == doctest::Approx(30));
    // The first host has not reported what it got, so that only 20 of 50 fit.
    CHECK(two.ask(pool, 100, start + 1200ms) == doctest::Approx(20));
}

TEST_CASE("quota pool: a lower quota applies to what is left at once") {
    policy::quota_pool pool = make_pool(1);
    asking_host one{.name = "one"};
    one.ask(pool, 0, start);
    one.ask(pool, 0, start);
    pool.set_limits({{subject, {.rate_per_second = 1, .capacity = 5, .restart_level = 0}}}, start + 500ms);
    CHECK(one.ask(pool, 100, start + 500ms) == doctest::Approx(5));
}

TEST_CASE("quota pool: a limit in requests is granted in whole requests, and only those that came in since it began") {
    // Guards against fractions that hosts hold and none can use, and against a bucket that is full when it is named.
    policy::quota_pool pool("owner", 7, 0);
    pool.set_host_count(1, start);
    asking_host one{.name = "one"};
    one.ask(pool, 0, start);
    one.ask(pool, 0, start);
    pool.set_limits({{subject, policy::make_server_limit(2)}}, start + 100ms);
    CHECK(one.ask(pool, 3, start + 100ms) == 0);
    CHECK(one.ask(pool, 3, start + 500ms) == 0);
    CHECK(one.ask(pool, 3, start + 600ms) == 1);
    CHECK(one.ask(pool, 3, start + 1300ms) == 1);
    CHECK(one.ask(pool, 3, start + 1600ms) == 1);
}

TEST_CASE("quota pool: a limit that only hosts know is bounded, the smaller one if they differ") {
    // Guards against an owner that grants nothing, or too much, of a limit that it has not heard of.
    policy::quota_pool pool("owner", 7, 0);
    pool.set_host_count(1, start);
    asking_host one{.name = "one"};
    one.ask(pool, 0, start);
    one.named_limit = 10;
    CHECK(one.ask(pool, 1, start) == 0);
    CHECK(one.ask(pool, 9, start + 500ms) == 5);
    asking_host two{.name = "two", .named_limit = 2};
    CHECK(two.ask(pool, 9, start + 500ms) == 0);
    CHECK(one.ask(pool, 0, start + 550ms) == 0);
    CHECK(one.ask(pool, 9, start + 1450ms) == 1);
    // Two no longer states its limit.
    CHECK(one.ask(pool, 0, start + 1500ms) == 0);
    CHECK(one.ask(pool, 9, start + 2s) == 5);
    pool.set_limits({{subject, policy::make_server_limit(4)}}, start + 2s);
    CHECK(one.ask(pool, 0, start + 2050ms) == 0);
    // The smaller limit keeps its part of the 0.9 requests that were left, and 2.2 have come in.
    CHECK(one.ask(pool, 9, start + 2550ms) == 2);
    CHECK(one.ask(pool, 0, start + 2600ms) == 0);
    CHECK(one.ask(pool, 9, start + 2700ms) == 1);
}

TEST_CASE("quota pool: a limit that ends and begins again within a second starts with what was left") {
    // Guards against a bucket that forgets what hosts hold.
    policy::quota_pool pool("owner", 7, 0);
    pool.set_host_count(1, start);
    pool.set_limits({{subject, policy::make_server_limit(2)}}, start);
    asking_host one{.name = "one"};
    asking_host two{.name = "two"};
    one.ask(pool, 0, start);
    one.ask(pool, 0, start);
    two.ask(pool, 0, start);
    one.ask(pool, 0, start + 800ms);
    one.ask(pool, 0, start + 1600ms);
    CHECK(one.ask(pool, 3, start + 2s) == 3);
    pool.set_limits({}, start + 2100ms);
    pool.set_limits({{subject, policy::make_server_limit(2)}}, start + 2200ms);
    CHECK(two.ask(pool, 3, start + 2200ms) == 1);
}

TEST_CASE("quota pool: the bucket of a server is empty after any start of the hosts") {
    // Guards against hosts that are given a full bucket each time they start.
    for (const policy::quota_start kind : {policy::quota_start::restart, policy::quota_start::first_start}) {
        policy::quota_pool pool("owner", 7, 0);
        pool.set_host_count(1, start);
        pool.set_limits({{subject, policy::make_server_limit(30)}}, start);
        asking_host one{.name = "one", .start = kind};
        CHECK(one.ask(pool, 1, start) == 0);
        CHECK(one.ask(pool, 1, start) == 0);
        CHECK(one.ask(pool, 9, start + 100ms) == 3);
    }
}
