#include <doctest/doctest.h>

#include "policy/stop_schedule.hpp"

using namespace dragonflywell;
using policy::stop_schedule;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr steady_time signal_at{seconds(100)};
constexpr duration bound = seconds(8);

} // namespace

TEST_CASE("the steps of a stop follow each other within its bound") {
    const stop_schedule schedule(signal_at, bound);
    CHECK(schedule.get_began_at() < schedule.get_notice_end());
    CHECK(schedule.get_notice_end() < schedule.get_listen_end());
    CHECK(schedule.get_listen_end() < schedule.get_work_end());
    CHECK(schedule.get_work_end() < schedule.get_response_end());
    CHECK(schedule.get_response_end() < schedule.get_exit());
    CHECK(schedule.get_exit() < signal_at + bound);
}

TEST_CASE("a request that arrives after the notice and might outlast the stop is not accepted") {
    const stop_schedule schedule(signal_at, bound);
    const steady_time late = schedule.get_notice_end();
    const duration left = schedule.get_work_end() - late;
    CHECK(schedule.may_accept(late - milliseconds(1), bound));
    CHECK(schedule.may_accept(late, left));
    CHECK_FALSE(schedule.may_accept(late, left + milliseconds(1)));
    CHECK_FALSE(schedule.may_accept(schedule.get_work_end(), milliseconds(1)));
}

TEST_CASE("a stop of any length accepts long requests for less than 3 s and ends its work in the last sixth") {
    for (const duration length : {duration(seconds(2)), duration(seconds(8)), duration(seconds(30))}) {
        const stop_schedule schedule(signal_at, length);
        CHECK(schedule.get_notice_end() < signal_at + seconds(3));
        CHECK(schedule.get_work_end() >= signal_at + length * 5 / 6);
    }
}

TEST_CASE("every request is accepted until the platform's readiness check has failed twice") {
    CHECK(stop_schedule(signal_at, bound).get_notice_end() >= signal_at + seconds(2));
    CHECK(stop_schedule(signal_at, seconds(30)).get_notice_end() >= signal_at + seconds(2));
}

TEST_CASE("a short bound keeps all steps of a stop") {
    const stop_schedule schedule(signal_at, milliseconds(200));
    CHECK(schedule.may_accept(signal_at, seconds(60)));
    CHECK(schedule.get_work_end() < schedule.get_exit());
    CHECK(schedule.get_exit() < signal_at + milliseconds(200));
}
