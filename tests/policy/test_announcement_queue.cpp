#include "policy/announcement_queue.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using policy::announcement_queue;
using namespace std::chrono_literals;

namespace {

bool is_never_urgent(int /*record*/) {
    return false;
}

std::vector<int> take(announcement_queue<int>& queue, std::size_t room, int urgent = -1) {
    std::vector<int> taken;
    queue.take([&](int record) { return record == urgent; },
               [&](int record) {
                   if (taken.size() == room) {
                       return false;
                   }
                   taken.push_back(record);
                   return true;
               });
    return taken;
}

} // namespace

TEST_CASE("each record is sent a limited number of times, and those without room wait") {
    announcement_queue<int> queue({.repeats = 2});
    for (int record = 1; record <= 3; ++record) {
        queue.add(record, steady_time{});
    }
    CHECK(take(queue, 2) == std::vector{1, 2});
    CHECK(take(queue, 2) == std::vector{3, 1});
    CHECK(take(queue, 2) == std::vector{2, 3});
    CHECK(take(queue, 2).empty());
    CHECK(queue.get_waiting() == 0);
}

TEST_CASE("an urgent record goes before the others") {
    announcement_queue<int> queue({.repeats = 2});
    for (int record = 1; record <= 3; ++record) {
        queue.add(record, steady_time{});
    }
    CHECK(take(queue, 1, 3) == std::vector{3});
    CHECK(take(queue, 1, 3) == std::vector{3});
    CHECK(take(queue, 1, 3) == std::vector{1});
}

TEST_CASE("beyond the limit the record that was sent most often is dropped and counted") {
    announcement_queue<int> queue({.max_records = 2});
    queue.add(1, steady_time{});
    CHECK(take(queue, 1) == std::vector{1});
    queue.add(2, steady_time{});
    queue.add(3, steady_time{});
    CHECK(queue.get_dropped() == 1);
    CHECK(take(queue, 2) == std::vector{2, 3});
}

TEST_CASE("a record that is added again is sent the full number of times again, and old ones are discarded") {
    announcement_queue<int> queue({.repeats = 2});
    queue.add(1, steady_time{});
    CHECK(take(queue, 1) == std::vector{1});
    queue.add(1, steady_time{} + 1s);
    CHECK(queue.get_waiting() == 1);
    CHECK(take(queue, 1) == std::vector{1});
    CHECK(queue.get_waiting() == 1);
    queue.discard_before(steady_time{} + 1s);
    CHECK(queue.get_waiting() == 1);
    queue.discard_before(steady_time{} + 1001ms);
    CHECK(queue.get_waiting() == 0);
    queue.take(is_never_urgent, is_never_urgent);
}
