#include "policy/crash_attribution.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using policy::crash_attribution;
using policy::request_fingerprint;

namespace {

const backend_server_name first("s1");
const backend_server_name second("s2");

} // namespace

TEST_CASE("a broken exchange is held against its request only once its server is known to be dead") {
    crash_attribution watch;
    const steady_time now{};
    watch.record_broken_exchange(7, first, now);
    watch.record_broken_exchange(8, first, now);
    watch.record_broken_exchange(9, second, now);
    CHECK(watch.take_crash_suspects(first, now) == std::vector<request_fingerprint>{7, 8});
    // The same death, seen in another way.
    CHECK(watch.take_crash_suspects(first, now).empty());
    CHECK(watch.take_crash_suspects(second, now) == std::vector<request_fingerprint>{9});
}

TEST_CASE("an exchange that broke long before its server died has another reason") {
    crash_attribution watch({.retention = std::chrono::seconds(10)});
    const steady_time now{};
    watch.record_broken_exchange(7, first, now);
    watch.record_broken_exchange(8, first, now + std::chrono::seconds(8));
    CHECK(watch.take_crash_suspects(first, now + std::chrono::seconds(11)) == std::vector<request_fingerprint>{8});
}

TEST_CASE("what breaks on one server is remembered up to a limit") {
    crash_attribution watch({.max_per_server = 2});
    const steady_time now{};
    for (request_fingerprint request = 1; request <= 5; ++request) {
        watch.record_broken_exchange(request, first, now);
    }
    CHECK(watch.take_crash_suspects(first, now).size() == 2);
}
