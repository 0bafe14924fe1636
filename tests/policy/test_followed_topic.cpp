#include "policy/followed_topic.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using dragonflywell::policy::followed_topic;
using namespace std::chrono_literals;

TEST_CASE("a topic is read when something is missing or nothing was heard, not while another host is up to date") {
    virtual_clock time;
    followed_topic topic;
    CHECK(topic.is_due(1s, time.now()));
    topic.note_read(5, 5, time.now());
    CHECK_FALSE(topic.is_due(1s, time.now()));
    time.advance(900ms);
    CHECK_FALSE(topic.take_hint(5, 100ms, time.now()));
    time.advance(800ms);
    CHECK_FALSE(topic.is_due(1s, time.now()));
    time.advance(100ms);
    CHECK(topic.is_due(1s, time.now()));
    topic.note_read(5, 5, time.now());
    CHECK(topic.take_hint(6, 0ms, time.now()));
    CHECK(topic.is_due(1s, time.now()));
    CHECK(topic.is_next(5));
    topic.note_read(6, 6, time.now());
    CHECK_FALSE(topic.is_due(1s, time.now()));
    topic.note_dropped();
    CHECK(topic.is_due(1s, time.now()));
}

TEST_CASE("a page that does not reach the topic's end is no news of its end") {
    virtual_clock time;
    followed_topic topic;
    topic.note_read(3, 3, time.now());
    time.advance(900ms);
    topic.note_read(6, 40, time.now());
    CHECK(topic.get_next() == 6);
    CHECK(topic.get_missing() == 34);
    CHECK(topic.is_behind());
    CHECK(topic.is_due(1s, time.now()));
    // What this host tells others of its age must not look fresh either.
    CHECK(topic.get_age(time.now()) == 900ms);
    topic.note_read(40, 40, time.now());
    CHECK_FALSE(topic.is_behind());
    CHECK(topic.get_age(time.now()) == 0ms);
}
