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

/// A host that speaks for its group, at a moment shortly after a window's end.
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

    /// Lets a host tell its counts, so long after the end of the closed window.
    void tell(const std::string& host, std::uint64_t count, duration after_end) {
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

TEST_CASE_FIXTURE(fixture, "the usage of a group is recorded in one call, and the hosts are told") {
    tell("h1", 3, 300ms);
    tell("h2", 4, 500ms);
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

TEST_CASE_FIXTURE(fixture, "counts that were told before the window was over are left to their host") {
    tell("h1", 3, 100ms);
    tell("h2", 4, 500ms);
    group.record_if_due();
    run_until(loop, [&] { return group.get_recorded().has_value(); });
    CHECK(group.get_recorded()->incarnations ==
          std::vector<servers::host_incarnation>{{.host = "h2", .incarnation = 7}});
}

TEST_CASE_FIXTURE(fixture, "nothing is told to be recorded where the store took nothing") {
    server.stop();
    tell("h1", 3, 300ms);
    group.record_if_due();
    // The loop ends when the call has failed.
    loop.run();
    CHECK_FALSE(group.get_recorded().has_value());
}

TEST_CASE_FIXTURE(fixture, "a copy holds windows that a host does not tell of any more") {
    for (std::int64_t window = get_closed() - 6; window <= get_closed(); ++window) {
        servers::host_digest digest;
        digest.host = "h1";
        digest.incarnation = 7;
        digest.corrected_time = state.usage.get_end(window) + 300ms;
        digest.usage = {{window, {{rovers, 1}}}};
        group.update(digest);
    }
    const auto told = group.remove_host("h1");
    REQUIRE(told.has_value());
    CHECK(told->windows.size() == 6);
    CHECK(told->windows.contains(get_closed() - 5));
}

TEST_CASE_FIXTURE(fixture, "what a silent host told last is handed back once") {
    tell("h1", 3, 300ms);
    const auto told = group.remove_host("h1");
    REQUIRE(told.has_value());
    CHECK(told->incarnation == 7);
    CHECK(told->windows.at(get_closed()).at(rovers) == 3);
    CHECK_FALSE(group.remove_host("h1").has_value());
}
