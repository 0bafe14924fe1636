#include <doctest/doctest.h>

#include "policy/quarantine.hpp"

using namespace dragonflywell;
using policy::quarantine;

TEST_CASE("a request is refused after two crashes, a duplicate report counts once, and completion clears it") {
    const virtual_clock clock;
    const wall_time now = clock.wall_now();
    quarantine suspects({});
    suspects.record_crash({.fingerprint = 1, .crash_id = 10, .moment = now});
    suspects.record_crash({.fingerprint = 2, .crash_id = 11, .moment = now});
    suspects.record_crash({.fingerprint = 1, .crash_id = 10, .moment = now});
    CHECK(suspects.is_suspect(1, now));
    CHECK_FALSE(suspects.is_refused(1, now));
    suspects.record_completion(2, now);
    CHECK_FALSE(suspects.is_suspect(2, now));
    quarantine other_host({});
    for (const policy::engine_crash& crash : suspects.get_crashes(now)) {
        other_host.record_crash(crash);
    }
    other_host.record_crash({.fingerprint = 1, .crash_id = 20, .moment = now});
    CHECK(other_host.is_refused(1, now));
    CHECK_FALSE(other_host.is_refused(1, now + std::chrono::hours(1)));
}

TEST_CASE("the number of suspects is bounded, and the oldest is evicted first") {
    const virtual_clock clock;
    quarantine suspects({.max_requests = 2});
    for (policy::request_fingerprint index = 0; index < 3; ++index) {
        suspects.record_crash(
            {.fingerprint = index, .crash_id = index, .moment = clock.wall_now() + std::chrono::seconds(index)});
    }
    CHECK_FALSE(suspects.is_suspect(0, clock.wall_now()));
    CHECK(suspects.is_suspect(2, clock.wall_now()));
}

TEST_CASE("a request with several crashes stays known, however many others stood beside a crash since") {
    const virtual_clock clock;
    const wall_time now = clock.wall_now();
    quarantine suspects({.crashes_to_refuse = 3, .max_requests = 100});
    suspects.record_crash({.fingerprint = 1, .crash_id = 1, .moment = now});
    suspects.record_crash({.fingerprint = 1, .crash_id = 2, .moment = now});
    for (policy::request_fingerprint other = 10; other < 1000; ++other) {
        suspects.record_crash({.fingerprint = other, .crash_id = 3, .moment = now + std::chrono::seconds(1)});
    }
    suspects.record_crash({.fingerprint = 1, .crash_id = 4, .moment = now + std::chrono::seconds(2)});
    CHECK(suspects.is_refused(1, now + std::chrono::seconds(2)));
}

TEST_CASE("a request that completed is not suspected again by a late report of a crash before") {
    const virtual_clock clock;
    const wall_time now = clock.wall_now();
    quarantine suspects({});
    const policy::engine_crash crash{.fingerprint = 1, .crash_id = 1, .moment = now};
    suspects.record_crash(crash);
    suspects.record_completion(1, now + std::chrono::seconds(1));
    CHECK_FALSE(suspects.record_crash(crash));
    CHECK(suspects.is_empty());
    CHECK(suspects.record_crash({.fingerprint = 1, .crash_id = 2, .moment = now + std::chrono::seconds(2)}));
    // The same if it was not suspected yet when it completed.
    suspects.record_completion(2, now + std::chrono::seconds(1));
    CHECK_FALSE(suspects.record_crash({.fingerprint = 2, .crash_id = 1, .moment = now}));
}

TEST_CASE("an engine is reserved for as long as a suspect runs on it") {
    quarantine suspects({});
    const backend_server_name server("e1");
    {
        const quarantine::reservation first(suspects, server);
        CHECK(suspects.get_reserved().contains(server));
    }
    CHECK(suspects.get_reserved().empty());
}

TEST_CASE("the crashes of refused requests are returned for a restarted host, newest first") {
    policy::quarantine suspects({.crashes_to_refuse = 3, .retention = std::chrono::minutes(10)});
    const wall_time now = wall_time(std::chrono::hours(1));
    CHECK(suspects.is_empty());
    for (std::uint64_t number = 1; number <= 4; ++number) {
        const policy::engine_crash crash{.fingerprint = number == 4 ? 2U : 1U,
                                         .crash_id = number,
                                         .moment = now - std::chrono::seconds(static_cast<int>(number))};
        CHECK(suspects.record_crash(crash));
        CHECK_FALSE(suspects.record_crash(crash));
        CHECK(suspects.is_repeated(1, now) == (number >= 2));
    }
    CHECK_FALSE(suspects.is_repeated(2, now));
    const std::vector<policy::engine_crash> crashes = suspects.get_refused_crashes(now, 2);
    REQUIRE(crashes.size() == 2);
    CHECK(crashes[0].crash_id == 1);
    CHECK(crashes[1].crash_id == 2);
    CHECK_FALSE(suspects.is_empty());
}
