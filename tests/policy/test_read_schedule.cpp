#include "policy/read_schedule.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using namespace std::chrono_literals;
using policy::read_schedule;
using policy::topic_progress;

namespace {

/// A topic that was read up to position 5, with a bound of 2 s.
struct fixture {
    virtual_clock time;
    topic_progress topic;
    read_schedule schedule{2s};
    const log_position end{.era = 1, .offset = 5};

    fixture() {
        topic.note_era(1);
        topic.record_read(end, end, time.now());
    }

    [[nodiscard]] duration get_wait() const { return schedule.get_next_read_at(topic) - time.now(); }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "the leader reads at an interval, others when nobody confirms that they are up to date") {
    CHECK(get_wait() == 1s);
    schedule.set_reader(true);
    CHECK(get_wait() == 560ms);
    schedule.set_reader(false);
    time.advance(900ms);
    topic.update_leader_position(end, 100ms, time.now());
    CHECK(get_wait() == 900ms);
}

TEST_CASE_FIXTURE(fixture, "a read without an answer is repeated before its time limit, and not more than once") {
    time.advance(1s);
    CHECK(get_wait() == 0s);
    CHECK_FALSE(schedule.begin_read(time.now()));
    CHECK(get_wait() == 200ms);
    CHECK(get_wait() < schedule.get_times().call_limit);
    time.advance(200ms);
    CHECK(schedule.begin_read(time.now()));
    CHECK(schedule.get_next_read_at(topic) == steady_time::max());
}

TEST_CASE_FIXTURE(fixture, "a read of the leader that takes long is not repeated while the topic is fresh") {
    schedule.set_reader(true);
    time.advance(560ms);
    schedule.begin_read(time.now());
    CHECK(get_wait() == 1200ms - 560ms);
}

TEST_CASE("the first read of all is not repeated while it is under way") {
    const virtual_clock time;
    const topic_progress topic;
    read_schedule schedule(2s);
    CHECK(schedule.get_next_read_at(topic) <= time.now());
    schedule.begin_read(time.now());
    CHECK(schedule.get_next_read_at(topic) == steady_time::max());
}

TEST_CASE_FIXTURE(fixture, "a host that misses a record reads the store unless the leader sends it again in time") {
    schedule.note_gap({.era = 1, .offset = 7}, time.now());
    CHECK(schedule.has_gap());
    CHECK(get_wait() == 300ms);
    time.advance(100ms);
    schedule.note_gap({.era = 1, .offset = 9}, time.now());
    CHECK(get_wait() == 200ms);
    schedule.note_progress({.era = 1, .offset = 7});
    CHECK(schedule.has_gap());
    schedule.note_progress({.era = 1, .offset = 9});
    CHECK_FALSE(schedule.has_gap());
    CHECK(get_wait() == 900ms);
}

TEST_CASE_FIXTURE(fixture, "after a read that brought nothing the next one waits") {
    time.advance(1s);
    schedule.begin_read(time.now());
    schedule.end_read();
    schedule.pause(time.now());
    CHECK(get_wait() == 200ms);
}

TEST_CASE("the steps to the use of a change stay within the bound with one answer lost or stale") {
    for (const duration bound : {2s, 3s, 4s}) {
        const policy::read_times times = policy::read_times::within(bound);
        CHECK(times.get_age_after_lost_answer() + times.margin <= bound);
        CHECK(times.get_age_after_stale_answer() + times.margin <= bound);
    }
}
