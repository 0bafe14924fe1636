#include "daemon/group_usage_recorder.hpp"

#include <doctest/doctest.h>

#include "coordination/usage_state.hpp"
#include "daemon/store_topics.hpp"
#include "platform/engine_codec.hpp"
#include "support/event_loop.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::testing::run_until;
using namespace std::chrono_literals;

namespace {

constexpr duration window_length = 5s;
const organisation_name rovers("rovers");

/// The leader of a group of hosts, at a time shortly after the end of a window.
struct fixture : testing::store_fixture {
    platform::engine_codec dialect;
    servers::serving_state state{loop.get_executor(), time, pool, dialect, metrics, {.usage_window = window_length}};
    platform::store_client client = make_client();
    daemon::group_usage_recorder group{client, state, 900ms};

    fixture() {
        const wall_time now = state.get_corrected_time();
        const wall_time end = state.usage.get_end(state.usage.get_window(now));
        state.adjust_corrected_time(end - now + 1s);
    }

    [[nodiscard]] std::int64_t get_closed() const { return state.usage.get_window(state.get_corrected_time()) - 1; }

    /// Delivers a digest with a host's count for the closed window, sent at the given time after the window's end.
    void deliver_digest(const std::string& host, std::uint64_t count, duration after_end) {
        servers::host_digest digest;
        digest.host = host;
        digest.incarnation = 7;
        digest.corrected_time = state.usage.get_end(get_closed()) + after_end;
        digest.usage = {{get_closed(), {{rovers, count}}}};
        group.update(digest);
    }

    [[nodiscard]] std::uint64_t get_recorded_count(const std::string& host) {
        const std::optional<std::string> text =
            store.get(std::string(daemon::topics::usage), coordination::make_usage_copy_key(host, 7));
        REQUIRE(text.has_value());
        return coordination::decode_usage_record(*text).windows.at(get_closed()).at(rovers);
    }
};

} // namespace

TEST_CASE_FIXTURE(
    fixture, "the usage of a group is recorded with one store call and then listed as recorded for the next digests") {
    deliver_digest("h1", 3, 300ms);
    deliver_digest("h2", 4, 500ms);
    group.record_if_due();
    group.record_if_due();
    run_until(loop, [&] { return group.get_recorded().has_value(); });
    CHECK(store.get_calls() == 1);
    CHECK(get_recorded_count("h1") == 3);
    CHECK(get_recorded_count("h2") == 4);
    CHECK(group.get_recorded()->window == get_closed());
    CHECK(group.get_recorded()->incarnations ==
          std::vector<servers::host_incarnation>{{.host = "h1", .incarnation = 7}, {.host = "h2", .incarnation = 7}});
}

TEST_CASE_FIXTURE(fixture,
                  "counts that were sent before the window was fully counted are not recorded for their host") {
    deliver_digest("h1", 3, 100ms);
    deliver_digest("h2", 4, 500ms);
    group.record_if_due();
    run_until(loop, [&] { return group.get_recorded().has_value(); });
    CHECK(group.get_recorded()->incarnations ==
          std::vector<servers::host_incarnation>{{.host = "h2", .incarnation = 7}});
}

TEST_CASE_FIXTURE(fixture, "the usage of a group is recorded again after the store returns from an older copy") {
    deliver_digest("h1", 3, 300ms);
    group.record_if_due();
    run_until(loop, [&] { return group.get_recorded().has_value(); });
    const servers::digest_recorded_usage before = *group.get_recorded();
    store.restore_to({{std::string(daemon::topics::usage), 0}});
    testing::run_until_done(
        loop, [&]() -> boost::asio::awaitable<void> { co_await client.read_newest(daemon::topics::reports); });
    CHECK_FALSE(group.get_recorded().has_value());
    CHECK_FALSE(group.is_current(before));
    group.record_if_due();
    run_until(loop, [&] { return group.get_recorded().has_value(); });
    CHECK(get_recorded_count("h1") == 3);
    CHECK(group.is_current(*group.get_recorded()));
}

TEST_CASE_FIXTURE(fixture, "nothing is listed as recorded when the store call fails") {
    server.stop();
    deliver_digest("h1", 3, 300ms);
    group.record_if_due();
    // The event loop runs out of work once the call has failed.
    loop.run();
    CHECK_FALSE(group.get_recorded().has_value());
}

TEST_CASE_FIXTURE(fixture, "windows that a host no longer sends are kept for its stored copy") {
    for (std::int64_t window = get_closed() - 6; window <= get_closed(); ++window) {
        servers::host_digest digest;
        digest.host = "h1";
        digest.incarnation = 7;
        digest.corrected_time = state.usage.get_end(window) + 300ms;
        digest.usage = {{window, {{rovers, 1}}}};
        group.update(digest);
    }
    const auto received = group.remove_host("h1");
    REQUIRE(received.has_value());
    CHECK(received->windows.size() == 6);
    CHECK(received->windows.contains(get_closed() - 5));
}

TEST_CASE_FIXTURE(fixture, "the last counts of a host that timed out are returned once") {
    deliver_digest("h1", 3, 300ms);
    const auto received = group.remove_host("h1");
    REQUIRE(received.has_value());
    CHECK(received->incarnation == 7);
    CHECK(received->windows.at(get_closed()).at(rovers) == 3);
    CHECK_FALSE(group.remove_host("h1").has_value());
}
