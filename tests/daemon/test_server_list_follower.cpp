#include "daemon/server_list_follower.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/engine_codec.hpp"
#include "support/event_loop.hpp"
#include "support/run_in_time.hpp"
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

/// A host that is not the group leader, with one server in the list.
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

    template <typename Condition>
    void run_in_time_until(Condition condition) {
        testing::run_in_time_until(loop, clock, condition);
    }

    [[nodiscard]] bool is_listed() const { return state.eligibility.get_list().find(server_id) != nullptr; }

    /// Simulates a failed store call of this host.
    void fail() { state.eligibility.get_list().get_contact().record_failure(clock.now()); }

    /// Delivers a read position of the group leader that equals this host's, with the age of the leader's last read.
    void send_leader_position(duration age) {
        follower.update_leader_position({.end = follower.get_read_position().end, .age = age});
    }

    /// Relays a record of the group leader that removes the server's entry.
    void relay_removal() {
        const log_position end = follower.get_read_position().end.value();
        const log_position next{.era = end.era, .offset = end.offset + 1};
        follower.apply_relayed(
            end,
            {.records = {{.offset = end.offset, .key = server_id.value(), .value = {}}}, .next = next, .end = next});
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "the store counts as recovered on a host when the group leader has reached it") {
    fail();
    clock.advance(5s);
    send_leader_position(100ms);
    clock.advance(3s);
    // The entry is removed long after the recovery of the store, so the server has left.
    relay_removal();
    CHECK_FALSE(is_listed());
}

TEST_CASE_FIXTURE(
    fixture, "an entry that expired during a store outage is dropped after the grace period without further records") {
    clock.advance(5s);
    fail();
    clock.advance(200ms);
    send_leader_position(100ms);
    clock.advance(1s);
    relay_removal();
    CHECK(is_listed());
    clock.advance(1299ms);
    send_leader_position(100ms);
    CHECK(is_listed());
    CHECK(state.is_usable(server_id));
    clock.advance(1ms);
    CHECK_FALSE(state.is_usable(server_id));
    send_leader_position(100ms);
    CHECK_FALSE(is_listed());
}

TEST_CASE_FIXTURE(fixture, "a host keeps an expired entry while its group leader has not reached the store recently") {
    clock.advance(5s);
    send_leader_position(4s);
    clock.advance(3s);
    fail();
    clock.advance(100ms);
    relay_removal();
    CHECK(is_listed());
}

TEST_CASE_FIXTURE(fixture, "a host that alone cannot reach the store drops a server that left at once") {
    for (int second = 0; second < 5; ++second) {
        fail();
        clock.advance(1s);
        send_leader_position(100ms);
    }
    relay_removal();
    CHECK_FALSE(is_listed());
}

TEST_CASE_FIXTURE(fixture, "what a server left unanswered is suspected when the list shows that it ended unplanned") {
    // Returns whether the request is suspected after the server's entry became that value.
    const auto relay = [&](const std::optional<std::string>& value) {
        const log_position end = follower.get_read_position().end.value();
        const log_position next{.era = end.era, .offset = end.offset + 1};
        const std::vector<platform::keyed_record> records{
            {.offset = end.offset, .key = server_id.value(), .value = value}};
        follower.apply_relayed(end, {.records = records, .next = next, .end = next}, 0ms);
        return !state.suspects.is_empty();
    };
    const std::string restarted = fmt::format(R"({{"service":"app","addr":"10.0.0.1:80","zone":"z","version":"1",)"
                                              R"("slots":4,"state":"ready","coldRemainingMs":0,"seq":1,"born":2}})");
    clock.advance(5s);
    state.crashes.record_unanswered(
        {.request = 7, .waiting_parts = {}, .server_incarnation = 1, .sent_at = clock.now(), .ended_at = clock.now()},
        server_id);
    CHECK_FALSE(relay(make_entry("ready", 2)));
    SUBCASE("its entry is removed") {
        CHECK(relay(std::nullopt));
    }
    SUBCASE("it has restarted") {
        CHECK(relay(restarted));
    }
    SUBCASE("its entry is removed after it has announced its shutdown") {
        CHECK_FALSE(relay(make_entry("draining", 3)));
        CHECK_FALSE(relay(std::nullopt));
    }
    SUBCASE("it has restarted after it has announced its shutdown") {
        CHECK_FALSE(relay(make_entry("draining", 3)));
        CHECK_FALSE(relay(restarted));
    }
    SUBCASE("its entry is removed after it has said in a response that it leaves") {
        state.eligibility.record_leaving(server_id, 1);
        CHECK_FALSE(relay(std::nullopt));
    }
    SUBCASE("its entry may have expired in an outage of the store, and is dropped later") {
        clock.advance(5s);
        fail();
        clock.advance(200ms);
        send_leader_position(100ms);
        clock.advance(1s);
        CHECK_FALSE(relay(std::nullopt));
        CHECK(is_listed());
        clock.advance(1300ms);
        send_leader_position(100ms);
        CHECK_FALSE(is_listed());
        CHECK_FALSE(state.suspects.is_empty());
    }
}

TEST_CASE_FIXTURE(fixture, "a stale listing does not make a draining server usable again") {
    const std::string topic = "keyed.servers";
    store.freeze_listing(topic);
    store.put(topic, server_id.value(), make_entry("draining", 2));
    const auto at = [](std::uint64_t offset) { return log_position{.era = 1, .offset = offset}; };
    follower.apply_relayed(at(1),
                           {.records = {{.offset = 1, .key = server_id.value(), .value = make_entry("draining", 2)}},
                            .next = at(2),
                            .end = at(2)});
    REQUIRE_FALSE(state.is_usable(server_id));
    store.put(topic, server_id.value(), make_entry("draining", 3));
    store.drop_history(topic);
    // A relayed page with a gap before it makes this host read the store. The store has dropped the records after its
    // read position, and the listing is older than the notice of the drain.
    const std::uint64_t calls = store.get_calls();
    follower.apply_relayed(at(3), {.records = {}, .next = at(3), .end = at(3)});
    // The call after the listing shows that the listing was processed.
    run_in_time_until([&] { return store.get_calls() >= calls + 3; });
    CHECK_FALSE(state.is_usable(server_id));
    store.thaw_listing(topic);
    run_in_time_until([&] { return follower.get_read_position().end == at(3); });
    CHECK_FALSE(state.is_usable(server_id));
}

TEST_CASE_FIXTURE(fixture, "servers that are missing in the first listing after the store's return are not gone") {
    const backend_server_name late_id("i-2");
    const log_position end{.era = 1, .offset = 2};
    follower.apply_relayed(
        {.era = 1, .offset = 1},
        {.records = {{.offset = 1, .key = late_id.value(), .value = make_entry("ready", 1)}}, .next = end, .end = end});
    REQUIRE(state.is_usable(late_id));
    store.set_era(2);
    follower.update_leader_position({.end = log_position{.era = 2, .offset = 1}, .age = 0ms});
    const auto is_listed_again = [&] {
        return follower.get_read_position().end == log_position{.era = 2, .offset = 1};
    };
    run_until(loop, is_listed_again);
    CHECK(state.is_usable(late_id));
    clock.advance(2400ms);
    CHECK(state.is_usable(late_id));
    clock.advance(100ms);
    CHECK_FALSE(state.is_usable(late_id));
    // It registers late.
    const log_position next{.era = 2, .offset = 2};
    follower.apply_relayed({.era = 2, .offset = 1},
                           {.records = {{.offset = 1, .key = late_id.value(), .value = make_entry("ready", 5)}},
                            .next = next,
                            .end = next});
    CHECK(state.is_usable(late_id));
}

TEST_CASE_FIXTURE(fixture, "an older copy of the list does not bring back a server that drains or was removed") {
    const log_position next{.era = 1, .offset = 2};
    SUBCASE("it drains") {
        follower.apply_relayed(
            {.era = 1, .offset = 1},
            {.records = {{.offset = 1, .key = server_id.value(), .value = make_entry("draining", 2)}},
             .next = next,
             .end = next});
    }
    SUBCASE("it was removed") {
        relay_removal();
    }
    REQUIRE_FALSE(state.is_usable(server_id));
    store.set_era(2);
    follower.update_leader_position({.end = log_position{.era = 2, .offset = 1}, .age = 0ms});
    run_until(loop, [&] { return follower.get_read_position().end == log_position{.era = 2, .offset = 1}; });
    CHECK_FALSE(state.is_usable(server_id));
}

TEST_CASE_FIXTURE(fixture, "records that are relayed in another era of the store are not applied") {
    const std::vector<platform::keyed_record> removal{{.offset = 1, .key = server_id.value(), .value = {}}};
    SUBCASE("of an older one") {
        store.set_era(2);
        follower.update_leader_position({.end = log_position{.era = 2, .offset = 1}, .age = 0ms});
        run_until(loop, [&] { return follower.get_read_position().end == log_position{.era = 2, .offset = 1}; });
        const log_position next{.era = 1, .offset = 2};
        follower.apply_relayed({.era = 1, .offset = 1}, {.records = removal, .next = next, .end = next});
        CHECK(follower.get_read_position().end == log_position{.era = 2, .offset = 1});
    }
    SUBCASE("of a newer one, so that the host lists") {
        const log_position next{.era = 2, .offset = 2};
        follower.apply_relayed({.era = 2, .offset = 1}, {.records = removal, .next = next, .end = next});
        CHECK_FALSE(follower.get_read_position().end);
        CHECK(state.eligibility.get_list().get_contact().may_have_expired(clock.now()));
    }
    CHECK(is_listed());
}

// Guards against DRAIN: a page that had waited for seconds in the link of the group leader confirmed an old list.
TEST_CASE_FIXTURE(fixture,
                  "a relayed page or read position that arrives late shows only how current the list was then") {
    const log_position end = follower.get_read_position().end.value();
    clock.advance(5s);
    const log_position next{.era = end.era, .offset = end.offset + 1};
    follower.apply_relayed(end, {.records = {}, .next = next, .end = next}, 2s);
    CHECK(follower.get_read_position().age == 2s);
    follower.update_leader_position({.end = next, .age = 1s});
    CHECK(follower.get_read_position().age == 1s);
}

TEST_CASE_FIXTURE(fixture, "a group leader relays only records that change the list, and the end of each page") {
    std::vector<platform::store_page> pages;
    follower.set_relay([&](const log_position& /*from*/, const platform::store_page& page, duration /*age*/) {
        pages.push_back(page);
    });
    store.put("keyed.servers", server_id.value(), make_entry("ready", 2));
    store.put("keyed.servers", server_id.value(), make_entry("draining", 3));
    store.put("keyed.servers", server_id.value(), make_entry("draining", 4));
    follower.set_reader(true);
    run_in_time_until([&] { return !pages.empty(); });
    REQUIRE(pages[0].records.size() == 1);
    CHECK(pages[0].records[0].offset == 2);
    CHECK(pages[0].next.offset == 4);
}

TEST_CASE_FIXTURE(fixture, "a relayed page that begins before what this host has read itself causes no further read") {
    const auto at = [](std::uint64_t offset) { return log_position{.era = 1, .offset = offset}; };
    const backend_server_name other_id("i-2");
    REQUIRE(follower.get_read_position().end == at(1));
    store.put("keyed.servers", server_id.value(), make_entry("draining", 2));
    store.put("keyed.servers", other_id.value(), make_entry("ready", 1));
    // The leader had read the topic up to its beginning, this host up to its first record.
    const std::uint64_t calls = store.get_calls();
    follower.apply_relayed(at(0),
                           {.records = {{.offset = 0, .key = other_id.value(), .value = {}},
                                        {.offset = 1, .key = server_id.value(), .value = make_entry("draining", 2)},
                                        {.offset = 2, .key = other_id.value(), .value = make_entry("ready", 1)}},
                            .next = at(3),
                            .end = at(3)});
    CHECK(follower.get_read_position().end == at(3));
    CHECK_FALSE(state.is_usable(server_id));
    CHECK(state.is_usable(other_id));
    loop.poll();
    CHECK(store.get_calls() == calls);
}

// Guards against DRAIN: the notice of a server was skipped, and the list counted as current.
TEST_CASE_FIXTURE(fixture, "a record is applied that a read of the store returns after a relayed page has arrived") {
    const auto at = [](std::uint64_t offset) { return log_position{.era = 1, .offset = offset}; };
    store.put("keyed.servers", server_id.value(), make_entry("ready", 2));
    store.put("keyed.servers", server_id.value(), make_entry("draining", 3));
    const std::uint64_t calls = store.get_calls();
    follower.set_reader(true);
    // The store has answered, but the answer has not arrived.
    run_in_time_until([&] { return store.get_calls() > calls; });
    REQUIRE(follower.get_read_position().end == at(1));
    follower.apply_relayed(at(1),
                           {.records = {{.offset = 1, .key = server_id.value(), .value = make_entry("ready", 2)}},
                            .next = at(2),
                            .end = at(2)});
    run_until(loop, [&] { return follower.get_read_position().end == at(3); });
    CHECK_FALSE(state.is_usable(server_id));
}

// Guards against DRAIN: the entry of another writer counted as a restart of the server.
TEST_CASE_FIXTURE(fixture, "an entry of another writer does not make a draining server usable again") {
    const auto at = [](std::uint64_t offset) { return log_position{.era = 1, .offset = offset}; };
    const std::string foreign = R"({"service":"app","addr":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"})";
    follower.apply_relayed(at(1),
                           {.records = {{.offset = 1, .key = server_id.value(), .value = make_entry("draining", 2)},
                                        {.offset = 2, .key = server_id.value(), .value = foreign}},
                            .next = at(3),
                            .end = at(3)});
    CHECK_FALSE(state.is_usable(server_id));
}

TEST_CASE_FIXTURE(fixture, "a host that holds another list than its group leader at the same position lists it anew") {
    const log_position end = follower.get_read_position().end.value();
    const std::uint64_t own = follower.get_read_position().checksum;
    const std::uint64_t calls = store.get_calls();
    follower.update_leader_position({.end = end, .age = 0ms, .checksum = own});
    CHECK(follower.get_read_position().end == end);
    follower.update_leader_position({.end = end, .age = 0ms, .checksum = own + 1});
    CHECK_FALSE(follower.get_read_position().end);
    run_in_time_until([&] { return follower.get_read_position().end == end; });
    CHECK(store.get_calls() == calls + 1);
    // The next listing for this reason waits, so that a difference that stays costs little.
    follower.update_leader_position({.end = end, .age = 0ms, .checksum = own + 1});
    CHECK(follower.get_read_position().end == end);
}
