#include "policy/crash_watch.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using policy::crash_watch;
using policy::request_fingerprint;

namespace {

const backend_server_name first("s1");
const backend_server_name second("s2");

} // namespace

TEST_CASE("a broken exchange is held against its request only once its server is known to be dead") {
    crash_watch watch;
    const steady_time now{};
    watch.note_broken(7, first, now);
    watch.note_broken(8, first, now);
    watch.note_broken(9, second, now);
    CHECK(watch.take_dead(first, now) == std::vector<request_fingerprint>{7, 8});
    // The same death, seen in another way.
    CHECK(watch.take_dead(first, now).empty());
    CHECK(watch.take_dead(second, now) == std::vector<request_fingerprint>{9});
}

TEST_CASE("an exchange that broke long before its server died has another reason") {
    crash_watch watch({.memory = std::chrono::seconds(10)});
    const steady_time now{};
    watch.note_broken(7, first, now);
    watch.note_broken(8, first, now + std::chrono::seconds(8));
    CHECK(watch.take_dead(first, now + std::chrono::seconds(11)) == std::vector<request_fingerprint>{8});
}

TEST_CASE("what breaks on one server is remembered up to a limit") {
    crash_watch watch({.most_per_server = 2});
    const steady_time now{};
    for (request_fingerprint request = 1; request <= 5; ++request) {
        watch.note_broken(request, first, now);
    }
    CHECK(watch.take_dead(first, now).size() == 2);
}
