#include "policy/crash_attribution.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using policy::crash_attribution;
using policy::crash_suspect;
using policy::request_fingerprint;

namespace {

const backend_server_name first("s1");
const backend_server_name second("s2");

crash_suspect make_suspect(request_fingerprint request, steady_time broken_at) {
    return {.request = request, .waiting_parts = {request, 100}, .server_incarnation = 5, .broken_at = broken_at};
}

} // namespace

TEST_CASE("a broken exchange makes its request a suspect only once the server is known to have crashed") {
    crash_attribution watch;
    const steady_time now{};
    watch.record_broken_exchange(make_suspect(7, now), first);
    watch.record_broken_exchange(make_suspect(8, now), first);
    watch.record_broken_exchange(make_suspect(9, now), second);
    CHECK(watch.take_crash_suspects(first, now) ==
          std::vector<crash_suspect>{make_suspect(7, now), make_suspect(8, now)});
    // The same crash, detected a second time.
    CHECK(watch.take_crash_suspects(first, now).empty());
    CHECK(watch.take_crash_suspects(second, now) == std::vector<crash_suspect>{make_suspect(9, now)});
}

TEST_CASE("an exchange that broke long before the crash is not attributed to it") {
    crash_attribution watch({.retention = std::chrono::seconds(10)});
    const steady_time now{};
    watch.record_broken_exchange(make_suspect(7, now), first);
    watch.record_broken_exchange(make_suspect(8, now + std::chrono::seconds(8)), first);
    CHECK(watch.take_crash_suspects(first, now + std::chrono::seconds(11)) ==
          std::vector<crash_suspect>{make_suspect(8, now + std::chrono::seconds(8))});
}

TEST_CASE("the number of broken exchanges kept for one server is bounded") {
    crash_attribution watch({.max_per_server = 2});
    const steady_time now{};
    for (request_fingerprint request = 1; request <= 5; ++request) {
        watch.record_broken_exchange(make_suspect(request, now), first);
    }
    CHECK(watch.take_crash_suspects(first, now).size() == 2);
}

TEST_CASE("the prompt parts kept of broken exchanges are bounded over all servers, and the oldest are dropped") {
    crash_attribution watch({.max_parts = 4});
    const steady_time now{};
    watch.record_broken_exchange(make_suspect(1, now), first);
    watch.record_broken_exchange(make_suspect(2, now + std::chrono::seconds(1)), second);
    watch.record_broken_exchange(make_suspect(3, now + std::chrono::seconds(2)), second);
    CHECK(watch.count_parts() == 4);
    const std::vector<crash_suspect> oldest = watch.take_crash_suspects(first, now);
    REQUIRE(oldest.size() == 1);
    CHECK(oldest[0].request == 1);
    CHECK(oldest[0].waiting_parts.empty());
    CHECK(watch.take_crash_suspects(second, now + std::chrono::seconds(2)).size() == 2);
    CHECK(watch.count_parts() == 0);
}
