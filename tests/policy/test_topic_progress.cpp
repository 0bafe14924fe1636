#include "policy/topic_progress.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using dragonflywell::policy::topic_progress;
using namespace std::chrono_literals;

TEST_CASE("a topic is read if records are missing or the state is too old, not while the group leader confirms it") {
    virtual_clock time;
    topic_progress topic;
    CHECK(topic.is_read_due(1s, time.now()));
    topic.record_read(5, 5, time.now());
    CHECK_FALSE(topic.is_read_due(1s, time.now()));
    time.advance(900ms);
    CHECK_FALSE(topic.update_leader_position(5, 100ms, time.now()));
    time.advance(800ms);
    CHECK_FALSE(topic.is_read_due(1s, time.now()));
    time.advance(100ms);
    CHECK(topic.is_read_due(1s, time.now()));
    topic.record_read(5, 5, time.now());
    CHECK(topic.update_leader_position(6, 0ms, time.now()));
    CHECK(topic.is_read_due(1s, time.now()));
    CHECK(topic.is_next(5));
    topic.record_read(6, 6, time.now());
    CHECK_FALSE(topic.is_read_due(1s, time.now()));
    topic.record_truncation();
    CHECK(topic.is_read_due(1s, time.now()));
}

TEST_CASE("reading a page that ends before the end of the topic does not make the state count as up to date") {
    virtual_clock time;
    topic_progress topic;
    topic.record_read(3, 3, time.now());
    time.advance(900ms);
    topic.record_read(6, 40, time.now());
    CHECK(topic.get_next_offset() == 6);
    CHECK(topic.get_lag() == 34);
    CHECK(topic.is_lagging());
    CHECK(topic.is_read_due(1s, time.now()));
    // The staleness that this host reports to others must not look fresh either.
    CHECK(topic.get_staleness(time.now()) == 900ms);
    topic.record_read(40, 40, time.now());
    CHECK_FALSE(topic.is_lagging());
    CHECK(topic.get_staleness(time.now()) == 0ms);
}
