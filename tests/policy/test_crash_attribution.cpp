#include "policy/crash_attribution.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dragonflywell;
using policy::crash_attribution;
using policy::crash_suspect;
using policy::down_proof;
using policy::request_fingerprint;
using namespace std::chrono_literals;

namespace {

const backend_server_name first("s1");
const backend_server_name second("s2");

crash_suspect make_suspect(request_fingerprint request, steady_time ended_at) {
    return {.request = request,
            .waiting_parts = {request, 100},
            .server_incarnation = 5,
            .sent_at = ended_at,
            .ended_at = ended_at,
            .is_broken = true};
}

/// A request that ended at the deadline of its caller.
crash_suspect make_abandoned(request_fingerprint request, steady_time sent_at, steady_time ended_at) {
    return {.request = request, .waiting_parts = {}, .server_incarnation = 5, .sent_at = sent_at, .ended_at = ended_at};
}

std::vector<request_fingerprint> take(crash_attribution& watch, down_proof proof, steady_time now) {
    std::vector<request_fingerprint> requests;
    for (const crash_suspect& suspect : watch.take_crash_suspects(first, proof, {}, now)) {
        requests.push_back(suspect.request);
    }
    return requests;
}

} // namespace

TEST_CASE("a broken exchange makes its request a suspect only once the server is known to have crashed") {
    crash_attribution watch;
    const steady_time now{};
    watch.record_unanswered(make_suspect(7, now), first);
    watch.record_unanswered(make_suspect(8, now), first);
    watch.record_unanswered(make_suspect(9, now), second);
    CHECK(watch.take_crash_suspects(first, down_proof::ended, {}, now) ==
          std::vector<crash_suspect>{make_suspect(7, now), make_suspect(8, now)});
    // The same crash, detected a second time.
    CHECK(watch.take_crash_suspects(first, down_proof::ended, {}, now).empty());
    CHECK(watch.take_crash_suspects(second, down_proof::ended, {}, now) ==
          std::vector<crash_suspect>{make_suspect(9, now)});
}

TEST_CASE("an exchange that broke long before the crash is not attributed to it") {
    crash_attribution watch({.retention = std::chrono::seconds(10)});
    const steady_time now{};
    watch.record_unanswered(make_suspect(7, now), first);
    watch.record_unanswered(make_suspect(8, now + std::chrono::seconds(8)), first);
    CHECK(watch.take_crash_suspects(first, down_proof::ended, {}, now + std::chrono::seconds(11)) ==
          std::vector<crash_suspect>{make_suspect(8, now + std::chrono::seconds(8))});
}

TEST_CASE("the number of broken exchanges kept for one server is bounded") {
    crash_attribution watch({.max_per_server = 2});
    const steady_time now{};
    for (request_fingerprint request = 1; request <= 5; ++request) {
        watch.record_unanswered(make_suspect(request, now), first);
    }
    CHECK(watch.take_crash_suspects(first, down_proof::ended, {}, now).size() == 2);
}

TEST_CASE("the prompt parts kept of broken exchanges are bounded over all servers, and the oldest are dropped") {
    crash_attribution watch({.max_parts = 4});
    const steady_time now{};
    watch.record_unanswered(make_suspect(1, now), first);
    watch.record_unanswered(make_suspect(2, now + std::chrono::seconds(1)), second);
    watch.record_unanswered(make_suspect(3, now + std::chrono::seconds(2)), second);
    CHECK(watch.count_parts() == 4);
    const std::vector<crash_suspect> oldest = watch.take_crash_suspects(first, down_proof::ended, {}, now);
    REQUIRE(oldest.size() == 1);
    CHECK(oldest[0].request == 1);
    CHECK(oldest[0].waiting_parts.empty());
    CHECK(watch.take_crash_suspects(second, down_proof::ended, {}, now + std::chrono::seconds(2)).size() == 2);
    CHECK(watch.count_parts() == 0);
}

TEST_CASE("a request that ended at its deadline is a suspect if the server proves to have ended, and else is none") {
    crash_attribution watch;
    const steady_time now{};
    watch.record_unanswered(make_abandoned(7, now, now + 1s), first);
    watch.record_unanswered(make_suspect(8, now + 1s), first);
    SUBCASE("out of reach, and gone later") {
        CHECK(take(watch, down_proof::unreachable, now + 2s) == std::vector<request_fingerprint>{8});
        CHECK(take(watch, down_proof::ended, now + 2s) == std::vector<request_fingerprint>{7});
    }
    SUBCASE("gone as it had said") {
        CHECK(take(watch, down_proof::left_as_planned, now + 2s) == std::vector<request_fingerprint>{8});
    }
    SUBCASE("gone") {
        CHECK(take(watch, down_proof::ended, now + 2s) == std::vector<request_fingerprint>{7, 8});
    }
}

TEST_CASE("requests that were over long before the server answered another one are no suspects") {
    crash_attribution watch({.late_start = 1s});
    const steady_time now{};
    watch.record_unanswered(make_abandoned(1, now, now + 1s), first);
    watch.record_unanswered(make_abandoned(2, now + 1s, now + 2s), first);
    watch.record_answer(first, now + 2500ms, now + 2600ms);
    CHECK(take(watch, down_proof::ended, now + 5s) == std::vector<request_fingerprint>{2});
}

TEST_CASE(
    "the request that stopped a busy server is among its likeliest suspects, however many ended before and after") {
    crash_attribution watch;
    steady_time now{};
    constexpr request_fingerprint guilty = 1'000'000;
    request_fingerprint next = 1;
    // Callers with short deadlines, of which some get answers.
    for (int step = 0; step < 2000; ++step, now += 1ms) {
        watch.record_unanswered(make_abandoned(next++, now - 2ms, now), first);
        watch.record_answer(first, now - 3ms, now);
    }
    const steady_time stopped_at = now;
    for (int step = 0; step < 4000; ++step, now += 1ms) {
        watch.record_unanswered(make_abandoned(next++, now - 2ms, now), first);
        if (step == 1000) {
            watch.record_unanswered(make_abandoned(guilty, stopped_at, now), first);
        }
    }
    const std::vector<request_fingerprint> suspects = take(watch, down_proof::ended, now);
    const auto found = std::find(suspects.begin(), suspects.end(), guilty);
    CHECK(found - suspects.begin() < 16);
}

TEST_CASE("what is kept of unanswered exchanges is gone when they are, however they go") {
    crash_attribution watch({.max_per_server = 3});
    const steady_time now{};
    for (request_fingerprint request = 1; request <= 8; ++request) {
        watch.record_unanswered(make_suspect(request % 2, now), request % 3 == 0 ? first : second);
    }
    CHECK_FALSE(watch.is_empty());
    SUBCASE("answers") {
        watch.forget(0);
        watch.forget(1);
    }
    SUBCASE("time") {
        watch.record_answer(first, now, now + 11s);
        watch.record_answer(second, now, now + 11s);
    }
    SUBCASE("ends of the servers") {
        CHECK(watch.take_crash_suspects(first, down_proof::left_as_planned, {}, now).size() == 2);
        CHECK(watch.take_crash_suspects(second, down_proof::ended, {}, now).size() == 3);
    }
    CHECK(watch.is_empty());
    CHECK(watch.count_parts() == 0);
    watch.forget(1);
}

TEST_CASE("a request that got its answer from another server is no suspect any more") {
    crash_attribution watch;
    const steady_time now{};
    watch.record_unanswered(make_suspect(7, now), first);
    watch.record_unanswered(make_suspect(7, now), second);
    watch.record_unanswered(make_suspect(8, now), second);
    watch.forget(7);
    CHECK(watch.count_parts() == 2);
    CHECK(take(watch, down_proof::ended, now).empty());
    CHECK(watch.take_crash_suspects(second, down_proof::ended, {}, now).size() == 1);
}
