#include "policy/topic_progress.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using dragonflywell::policy::topic_progress;
using namespace std::chrono_literals;

namespace {

log_position at(std::uint64_t offset, std::uint64_t era = 0) {
    return {.era = era, .offset = offset};
}

} // namespace

TEST_CASE("a topic is read if records are missing or the state is too old, not while the group leader confirms it") {
    virtual_clock time;
    topic_progress topic;
    CHECK(topic.is_read_due(1s, time.now()));
    topic.record_read(at(5), at(5), time.now());
    CHECK_FALSE(topic.is_read_due(1s, time.now()));
    time.advance(900ms);
    CHECK_FALSE(topic.update_leader_position(at(5), 100ms, time.now()));
    time.advance(800ms);
    CHECK_FALSE(topic.is_read_due(1s, time.now()));
    time.advance(100ms);
    CHECK(topic.is_read_due(1s, time.now()));
    topic.record_read(at(5), at(5), time.now());
    CHECK(topic.update_leader_position(at(6), 0ms, time.now()));
    CHECK(topic.is_read_due(1s, time.now()));
    CHECK(topic.is_next(at(5)));
    topic.record_read(at(6), at(6), time.now());
    CHECK_FALSE(topic.is_read_due(1s, time.now()));
    topic.record_truncation();
    CHECK(topic.is_read_due(1s, time.now()));
}

TEST_CASE("reading a page that ends before the end of the topic does not make the state count as up to date") {
    virtual_clock time;
    topic_progress topic;
    topic.record_read(at(3), at(3), time.now());
    time.advance(900ms);
    topic.record_read(at(6), at(40), time.now());
    CHECK(topic.get_next_position() == at(6));
    CHECK(topic.get_lag() == 34);
    CHECK(topic.is_lagging());
    CHECK(topic.is_read_due(1s, time.now()));
    // The staleness that this host reports to others must not look fresh either.
    CHECK(topic.get_staleness(time.now()) == 900ms);
    topic.record_read(at(40), at(40), time.now());
    CHECK_FALSE(topic.is_lagging());
    CHECK(topic.get_staleness(time.now()) == 0ms);
}

TEST_CASE("a topic whose rewritten log has reached the read position again is listed, not read on") {
    virtual_clock time;
    topic_progress topic;
    topic.record_read(at(4, 1), at(4, 1), time.now());
    SUBCASE("the group leader has listed the new era, up to the same offset") {
        CHECK(topic.update_leader_position(at(4, 2), 0ms, time.now()));
    }
    SUBCASE("the group leader has read further in the new era") {
        CHECK(topic.update_leader_position(at(9, 2), 0ms, time.now()));
    }
    SUBCASE("a call for another topic has shown the new era") {
        CHECK(topic.note_era(2));
    }
    SUBCASE("the store has returned several times") {
        CHECK(topic.note_era(7));
    }
    CHECK_FALSE(topic.get_next_position());
    CHECK_FALSE(topic.is_next(at(4, 1)));
    CHECK_FALSE(topic.is_next(at(4, 2)));
    CHECK(topic.is_read_due(1s, time.now()));
    const std::uint64_t era = topic.get_era();
    CHECK_FALSE(topic.is_stale_listing(at(2, era)));
    topic.record_read(at(2, era), at(2, era), time.now());
    CHECK(topic.get_next_position() == at(2, era));
    topic.record_read(at(9, era), at(9, era), time.now());
    CHECK_FALSE(topic.is_lagging());
    CHECK_FALSE(topic.note_era(era));
}

TEST_CASE("what was read in an earlier era of the store confirms nothing and replaces nothing") {
    virtual_clock time;
    topic_progress topic;
    topic.record_read(at(3, 2), at(3, 2), time.now());
    time.advance(900ms);
    CHECK_FALSE(topic.update_leader_position(at(50, 1), 0ms, time.now()));
    CHECK(topic.get_staleness(time.now()) == 900ms);
    CHECK_FALSE(topic.is_next(at(3, 1)));
    CHECK(topic.is_stale_listing(at(50, 1)));
    topic.record_read(at(50, 1), at(50, 1), time.now());
    CHECK(topic.get_next_position() == at(3, 2));
    CHECK(topic.get_staleness(time.now()) == 900ms);
}

TEST_CASE("a host that cannot list the new era is not up to date") {
    virtual_clock time;
    topic_progress topic;
    topic.record_read(at(4, 1), at(4, 1), time.now());
    time.advance(300ms);
    topic.note_era(2);
    topic.record_read(at(5, 1), at(5, 1), time.now());
    CHECK(topic.get_staleness(time.now()) == 300ms);
    CHECK(topic.is_lagging());
}
