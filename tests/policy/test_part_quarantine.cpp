#include "policy/part_quarantine.hpp"

#include <array>
#include <doctest/doctest.h>
#include <random>

using namespace dragonflywell;
using namespace std::chrono_literals;
using policy::part_quarantine;
using policy::prompt_part_id;

namespace {

using parts = std::vector<prompt_part_id>;

struct fixture {
    virtual_clock clock;
    part_quarantine quarantine;
    std::uint64_t crash_id{0};

    void crash(const std::vector<parts>& waiting) {
        ++crash_id;
        for (const parts& request : waiting) {
            quarantine.record_crash({.crash_id = crash_id, .parts = request, .moment = clock.wall_now()});
        }
        clock.advance(10ms);
    }
    bool is_refused(const parts& request) { return quarantine.is_refused(request, clock.wall_now()); }
    void answer(const parts& request) { quarantine.record_answer(request, clock.wall_now()); }
};

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "a part that crashes engines is refused from the third crash on, whatever else the prompt has") {
    crash({{1, 100}});
    crash({{2, 100}, {3}});
    CHECK_FALSE(is_refused({1, 100}));
    crash({{4, 100}});
    CHECK(is_refused({9, 100}));
    CHECK(is_refused({100}));
    CHECK_FALSE(is_refused({1}));
    CHECK_FALSE(is_refused({3, 4}));
    clock.advance(10min);
    CHECK_FALSE(is_refused({9, 100}));
}

TEST_CASE_FIXTURE(fixture, "a crash that several hosts report counts once") {
    for (int host = 0; host < 5; ++host) {
        quarantine.record_crash({.crash_id = 7, .parts = {100}, .moment = clock.wall_now()});
    }
    CHECK_FALSE(is_refused({100}));
}

TEST_CASE_FIXTURE(fixture, "a shared first part stays in use when prompts with it are answered") {
    for (int number = 0; number < 10; ++number) {
        crash({{1, 100}, {1, static_cast<prompt_part_id>(200 + number)}});
        answer({1, 6});
    }
    CHECK(is_refused({1, 100}));
    CHECK_FALSE(is_refused({1, 6}));
}

TEST_CASE_FIXTURE(fixture,
                  "parts that occurred in the same crashes are only refused together until one is told apart") {
    for (int number = 0; number < 4; ++number) {
        crash({{1, 100}});
    }
    CHECK(is_refused({1, 100}));
    CHECK_FALSE(is_refused({1, 6}));
    CHECK_FALSE(is_refused({2, 100}));
    SUBCASE("an answer clears the sound one") {
        answer({1, 6});
        CHECK(is_refused({2, 100}));
        CHECK_FALSE(is_refused({1, 6}));
    }
    SUBCASE("a further crash shows the guilty one") {
        crash({{2, 100}});
        CHECK(is_refused({3, 100}));
        CHECK_FALSE(is_refused({1, 6}));
    }
}

TEST_CASE_FIXTURE(fixture,
                  "a clearance of another host counts for the crashes before it, in whichever order they arrive") {
    const wall_time before = clock.wall_now();
    quarantine.record_clearance({.part = 1, .moment = before + 1s});
    for (std::uint64_t id = 1; id <= 4; ++id) {
        quarantine.record_crash({.crash_id = id, .parts = {1}, .moment = before});
    }
    CHECK_FALSE(is_refused({1}));
    for (std::uint64_t id = 5; id <= 7; ++id) {
        quarantine.record_crash({.crash_id = id, .parts = {1}, .moment = before + 2s});
    }
    CHECK(is_refused({1}));
}

TEST_CASE_FIXTURE(fixture, "a host that restarts learns the blamed parts from the records of another one") {
    for (int number = 0; number < 6; ++number) {
        crash({{static_cast<prompt_part_id>(number), 100}});
    }
    answer({3});
    clock.advance(1min);
    part_quarantine restarted;
    for (const policy::part_crash& known : quarantine.get_blamed_crashes(clock.wall_now(), 64)) {
        CHECK(restarted.record_crash(known));
        CHECK_FALSE(restarted.record_crash(known));
    }
    CHECK(restarted.is_refused(parts{100}, clock.wall_now()));
    CHECK(quarantine.get_blamed_crashes(clock.wall_now(), 4).size() == 4);
}

TEST_CASE_FIXTURE(fixture, "a clearance is returned for other hosts once, and only for a part that was suspected") {
    crash({{1, 2}});
    const std::vector<policy::part_clearance> cleared = quarantine.record_answer(parts{2, 3}, clock.wall_now());
    REQUIRE(cleared.size() == 1);
    CHECK(cleared[0].part == 2);
    CHECK(quarantine.record_answer(parts{2, 3}, clock.wall_now()).empty());
    CHECK_FALSE(quarantine.record_clearance(cleared[0]));
    part_quarantine other;
    CHECK(other.record_clearance(cleared[0]));
}

TEST_CASE("the number of remembered clearances is bounded, and the oldest is forgotten") {
    const virtual_clock clock;
    part_quarantine quarantine({.max_cleared = 2});
    for (prompt_part_id part = 1; part <= 3; ++part) {
        quarantine.record_clearance({.part = part, .moment = clock.wall_now() + std::chrono::seconds(part)});
    }
    CHECK(quarantine.record_crash({.crash_id = 1, .parts = {1}, .moment = clock.wall_now()}));
    CHECK_FALSE(quarantine.record_crash({.crash_id = 1, .parts = {3}, .moment = clock.wall_now()}));
}

TEST_CASE("two parts that crash engines are blamed and sound parts are not, over random loads") {
    constexpr prompt_part_id first_guilty = 1000;
    constexpr prompt_part_id second_guilty = 2000;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        // A few popular parts and many rare ones, as first parts of all prompts.
        const auto draw_first = [&]() -> prompt_part_id {
            return random() % 2 == 0 ? random() % 4 : 10 + random() % 400;
        };
        virtual_clock clock;
        part_quarantine quarantine;
        std::map<prompt_part_id, int> crashes;
        std::uint64_t refused_sound = 0;
        std::uint64_t sound = 0;
        for (int request = 0; request < 4000; ++request) {
            clock.advance(5ms);
            const wall_time now = clock.wall_now();
            parts own{draw_first()};
            const bool is_guilty = random() % 25 == 0;
            if (is_guilty) {
                own.push_back(random() % 2 == 0 ? first_guilty : second_guilty);
            }
            if (quarantine.is_refused(own, now)) {
                refused_sound += is_guilty ? 0 : 1;
                continue;
            }
            sound += is_guilty ? 0 : 1;
            if (!is_guilty) {
                quarantine.record_answer(own, now);
                continue;
            }
            ++crashes[own.back()];
            quarantine.record_crash({.crash_id = random(), .parts = own, .moment = now});
            const std::uint64_t id = random();
            quarantine.record_crash({.crash_id = id, .parts = own, .moment = now});
            quarantine.record_crash({.crash_id = id, .parts = {draw_first()}, .moment = now});
        }
        CHECK(crashes[first_guilty] <= 5);
        CHECK(crashes[second_guilty] <= 5);
        CHECK(refused_sound * 100 < sound);
    }
}

TEST_CASE_FIXTURE(fixture, "a part is refused although a part of another request occurred in the same crashes") {
    for (int number = 0; number < 3; ++number) {
        crash({{static_cast<prompt_part_id>(number), 100}, {5}});
    }
    CHECK(is_refused({9, 100}));
    CHECK(is_refused({5}));
    answer({5});
    CHECK_FALSE(is_refused({5}));
    CHECK(is_refused({9, 100}));
}

TEST_CASE("the number of records is bounded") {
    virtual_clock clock;
    part_quarantine quarantine({.max_crashes = 8});
    for (prompt_part_id part = 0; part < 100; ++part) {
        quarantine.record_crash({.crash_id = part, .parts = {part}, .moment = clock.wall_now()});
        clock.advance(1ms);
    }
    CHECK(quarantine.get_record_count() == 8);
}
