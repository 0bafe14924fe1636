#include <doctest/doctest.h>

#include "core/log_buffer.hpp"
#include "core/log_event.hpp"

using namespace dragonflywell;

TEST_CASE("lines of different priority are taken in the order in which they were added") {
    log_buffer ring(1000);
    ring.push("a\n", false);
    ring.push("b\n", true);
    ring.push("c\n", false);
    CHECK(ring.take(1000) == "a\nb\nc\n");
    CHECK(ring.is_empty());
}

TEST_CASE("a full buffer drops the oldest lines of low priority first and counts the dropped lines") {
    log_buffer ring(6);
    ring.push("l1", false);
    ring.push("w1", true);
    ring.push("l2", false);
    ring.push("w2", true);
    CHECK(ring.get_dropped() == 1);
    ring.push("w3", true);
    ring.push("w4", true);
    CHECK(ring.get_dropped() == 3);
    CHECK(ring.take(100) == "w2w3w4");
}

TEST_CASE("a buffer that is never read does not grow beyond its limit") {
    log_buffer ring(1024);
    for (int line = 0; line < 10'000; ++line) {
        ring.push(std::string(100, 'x'), line % 2 == 0);
    }
    CHECK(ring.take(100'000).size() <= 1024);
}

TEST_CASE("a log event is one JSON object whose field values are escaped") {
    log_event event("request_failed");
    event.add("id", "a\"b\n").add("status", 503).add("ready", true).add("took_ms", std::chrono::microseconds(1500));
    CHECK(event.get_text() == R"({"event":"request_failed","id":"a\"b\n","status":503,"ready":true,"took_ms":1.5})");
}
