#include "daemon/server_list_follower.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/engine_codec.hpp"
#include "support/event_loop.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::testing::run_until;
using namespace std::chrono_literals;

namespace {

const backend_server_name server_id("i-1");

std::string make_entry(const std::string& state, int sequence) {
    return fmt::format(R"({{"service":"app","addr":"10.0.0.1:80","zone":"z","version":"1","slots":4,"state":"{}",)"
                       R"("coldRemainingMs":0,"seq":{},"born":1}})",
                       state, sequence);
}

/// A host that another one reads for, with one server in the list.
struct fixture : testing::store_fixture {
    virtual_clock clock;
    platform::engine_codec dialect;
    servers::serving_state state{loop.get_executor(), clock, pool, dialect, metrics, {}};
    platform::store_client client = make_client();
    daemon::server_list_follower follower{client, state, 2s};

    fixture() {
        store.put("keyed.servers", server_id.value(), make_entry("ready", 1));
        boost::asio::co_spawn(loop, follower.run(), boost::asio::detached);
        run_until(loop, [this] { return follower.is_loaded(); });
    }

    [[nodiscard]] bool is_listed() const { return state.directory.find(server_id) != nullptr; }

    /// Lets a call of this host to the store fail.
    void fail() { state.directory.get_contact().record_failure(clock.now()); }

    /// Lets the host that reads say how far it is, and how long ago it read.
    void hint(duration age) { follower.update_leader_position({.end = follower.get_read_position().end, .age = age}); }

    /// Lets the host that reads pass on that the server's entry was removed.
    void pass_removal_on() {
        const std::uint64_t end = *follower.get_read_position().end;
        follower.apply_relayed(end, {.records = {{.offset = end, .key = server_id.value(), .value = {}}},
                                     .next_offset = end + 1,
                                     .topic_end_offset = end + 1});
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "the store is back for a host when the one that reads for it says so") {
    fail();
    clock.advance(5s);
    hint(100ms);
    clock.advance(3s);
    // It was removed long after the store's return, so that it left.
    pass_removal_on();
    CHECK_FALSE(is_listed());
}

TEST_CASE_FIXTURE(fixture, "an entry that lapsed while the store was away is dropped in time without further news") {
    clock.advance(5s);
    fail();
    clock.advance(200ms);
    hint(100ms);
    clock.advance(1s);
    pass_removal_on();
    CHECK(is_listed());
    clock.advance(1299ms);
    hint(100ms);
    CHECK(is_listed());
    CHECK(state.is_usable(server_id));
    clock.advance(1ms);
    CHECK_FALSE(state.is_usable(server_id));
    hint(100ms);
    CHECK_FALSE(is_listed());
}

TEST_CASE_FIXTURE(fixture, "a host whose reader has not reached the store lately waits for its return") {
    clock.advance(5s);
    hint(4s);
    clock.advance(3s);
    fail();
    clock.advance(100ms);
    pass_removal_on();
    CHECK(is_listed());
}

TEST_CASE_FIXTURE(fixture, "a server that left is dropped at once by a host that alone does not reach the store") {
    for (int second = 0; second < 5; ++second) {
        fail();
        clock.advance(1s);
        hint(100ms);
    }
    pass_removal_on();
    CHECK_FALSE(is_listed());
}

TEST_CASE_FIXTURE(fixture, "a listing older than what was read brings no leaving server back") {
    const std::string topic = "keyed.servers";
    store.freeze_listing(topic);
    store.put(topic, server_id.value(), make_entry("draining", 2));
    follower.apply_relayed(1, {.records = {{.offset = 1, .key = server_id.value(), .value = make_entry("draining", 2)}},
                               .next_offset = 2,
                               .topic_end_offset = 2});
    REQUIRE_FALSE(state.is_usable(server_id));
    store.put(topic, server_id.value(), make_entry("draining", 3));
    store.drop_history(topic);
    // News that this host has missed make it read; its place is gone, and the listing is from before the notice.
    const std::uint64_t calls = store.get_calls();
    follower.apply_relayed(3, {.records = {}, .next_offset = 3, .topic_end_offset = 3});
    // The call after the listing shows that it was taken, or passed over.
    run_until(loop, [&] { return store.get_calls() >= calls + 3; });
    CHECK_FALSE(state.is_usable(server_id));
    store.thaw_listing(topic);
    run_until(loop, [&] { return follower.get_read_position().end == 3; });
    CHECK_FALSE(state.is_usable(server_id));
}
