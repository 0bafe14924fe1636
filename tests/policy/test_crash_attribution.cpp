#include "policy/crash_attribution.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using policy::crash_attribution;
using policy::request_fingerprint;

namespace {

const backend_server_name first("s1");
const backend_server_name second("s2");

} // namespace

TEST_CASE("a broken exchange makes its request a suspect only once the server is known to have crashed") {
    crash_attribution watch;
    const steady_time now{};
    watch.record_broken_exchange(7, first, now);
    watch.record_broken_exchange(8, first, now);
    watch.record_broken_exchange(9, second, now);
    CHECK(watch.take_crash_suspects(first, now) == std::vector<request_fingerprint>{7, 8});
    // The same crash, detected a second time.
    CHECK(watch.take_crash_suspects(first, now).empty());
    CHECK(watch.take_crash_suspects(second, now) == std::vector<request_fingerprint>{9});
}

TEST_CASE("an exchange that broke long before the crash is not attributed to it") {
    crash_attribution watch({.retention = std::chrono::seconds(10)});
    const steady_time now{};
    watch.record_broken_exchange(7, first, now);
    watch.record_broken_exchange(8, first, now + std::chrono::seconds(8));
    CHECK(watch.take_crash_suspects(first, now + std::chrono::seconds(11)) == std::vector<request_fingerprint>{8});
}

TEST_CASE("the number of broken exchanges kept for one server is bounded") {
    crash_attribution watch({.max_per_server = 2});
    const steady_time now{};
    for (request_fingerprint request = 1; request <= 5; ++request) {
        watch.record_broken_exchange(request, first, now);
    }
    CHECK(watch.take_crash_suspects(first, now).size() == 2);
}
