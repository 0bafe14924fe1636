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
    suspects.record_completion(2);
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

TEST_CASE("an engine is reserved for as long as a suspect runs on it") {
    quarantine suspects({});
    const backend_server_name server("e1");
    {
        const quarantine::reservation first(suspects, server);
        CHECK(suspects.get_reserved().contains(server));
    }
    CHECK(suspects.get_reserved().empty());
}

TEST_CASE("only the newest crashes are exchanged between hosts") {
    policy::quarantine suspects({.crashes_to_refuse = 3, .retention = std::chrono::minutes(10)});
    const wall_time now = wall_time(std::chrono::hours(1));
    CHECK(suspects.is_empty());
    for (std::uint64_t number = 1; number <= 4; ++number) {
        suspects.record_crash({.fingerprint = number,
                               .crash_id = number,
                               .moment = now - std::chrono::seconds(static_cast<int>(number))});
    }
    const std::vector<policy::engine_crash> crashes = suspects.get_newest_crashes(now, std::chrono::seconds(3), 2);
    REQUIRE(crashes.size() == 2);
    CHECK(crashes[0].fingerprint == 1);
    CHECK(crashes[1].fingerprint == 2);
    CHECK_FALSE(suspects.is_empty());
}
