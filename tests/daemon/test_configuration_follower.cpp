#include "daemon/configuration_follower.hpp"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include "platform/engine_codec.hpp"
#include "support/event_loop.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::testing::run_until;
namespace asio = boost::asio;

namespace {

log_position at(std::uint64_t offset, std::uint64_t era = 1) {
    return {.era = era, .offset = offset};
}

/// The state of one host, and a store.
struct fixture : testing::store_fixture {
    platform::engine_codec dialect;
    servers::serving_state state{loop.get_executor(), time, pool, dialect, metrics, {}};
    platform::store_client client = make_client();

    void publish(int version) {
        store.put("keyed.op", "config", fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
    }

    [[nodiscard]] bool has_version(std::uint64_t version) const {
        return state.get_view() != nullptr && state.get_view()->get_version() == version;
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "a host that is many configurations behind fetches only the newest one") {
    constexpr int versions = 60;
    constexpr std::size_t page_records = 3;
    store.set_page_records(page_records);
    std::uint64_t put_in_force = 0;
    daemon::configuration_follower follower(client, state, std::chrono::seconds(2), [&] { ++put_in_force; });
    publish(1);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(1); });
    follower.set_reader(true);
    run_until(loop, [&] { return store.get_calls() == 2; });
    const std::uint64_t calls = store.get_calls();
    for (int version = 2; version <= versions; ++version) {
        publish(version);
    }
    run_until(loop, [&] { return has_version(versions); });
    // One call is the long poll that returns the first new versions, another one is the listing.
    CHECK(store.get_calls() - calls <= 3);
    CHECK(put_in_force <= 4);
}

TEST_CASE_FIXTURE(fixture, "an invalid configuration leaves the previous one in force") {
    daemon::configuration_follower follower(client, state, std::chrono::seconds(2), [] {});
    publish(1);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(1); });
    publish(2);
    store.put("keyed.op", "config", "no configuration");
    follower.update_leader_position({.end = at(3), .age = duration::zero()});
    // More than one record is missing, so the follower reads the listing, which contains only the invalid
    // configuration. The next valid one must then be put in force.
    publish(4);
    follower.update_leader_position({.end = at(4), .age = duration::zero()});
    run_until(loop, [&] { return has_version(4); });
    CHECK(has_version(4));
}

TEST_CASE_FIXTURE(fixture,
                  "after a change that the leader relayed, a host does not read the whole configuration again") {
    daemon::configuration_follower follower(client, state, std::chrono::seconds(2), [] {});
    publish(1);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(1); });
    const std::uint64_t calls = store.get_calls();
    publish(2);
    publish(3);
    publish(4);
    const auto make_change = [](std::uint64_t base, std::uint64_t next) {
        return gossip::relayed_change{.delta = {.base_version = base, .version = next}, .next = at(next)};
    };
    SUBCASE("each change arrives") {
        follower.apply_relayed({make_change(1, 2)});
        CHECK(has_version(2));
        follower.apply_relayed({make_change(1, 2), make_change(2, 3)});
        CHECK(has_version(3));
        follower.apply_relayed({make_change(1, 2), make_change(2, 3), make_change(3, 4)});
    }
    SUBCASE("one datagram makes up for those that were lost") {
        follower.apply_relayed({make_change(1, 2), make_change(2, 3), make_change(3, 4)});
    }
    CHECK(has_version(4));
    follower.update_leader_position({.end = at(4), .age = duration::zero()});
    loop.restart();
    loop.poll();
    CHECK(store.get_calls() == calls);
    CHECK(follower.get_read_position().end == at(4));
    // A change that was relayed late does not bring an older version back.
    follower.apply_relayed({make_change(1, 2)});
    CHECK(has_version(4));
}

TEST_CASE_FIXTURE(fixture, "a host that misses a relayed change reads the store, and then applies those that follow") {
    daemon::configuration_follower follower(client, state, std::chrono::seconds(2), [] {});
    publish(1);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(1); });
    publish(2);
    follower.apply_relayed({{.delta = {.base_version = 2, .version = 3}, .next = at(3)}});
    CHECK(has_version(1));
    follower.update_leader_position({.end = at(2), .age = duration::zero()});
    run_until(loop, [&] { return has_version(3); });
    CHECK(has_version(3));
}

TEST_CASE_FIXTURE(fixture, "the leader relays each change as a difference to the configuration before it") {
    std::vector<gossip::relayed_configuration> relayed;
    daemon::configuration_follower follower(client, state, std::chrono::seconds(2), [] {});
    follower.set_relay([&](const gossip::relayed_configuration& changes) { relayed.push_back(changes); });
    publish(1);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(1); });
    follower.set_reader(true);
    for (int version = 2; version <= 12; ++version) {
        publish(version);
        run_until(loop, [&] { return has_version(static_cast<std::uint64_t>(version)); });
    }
    REQUIRE(relayed.size() == 11);
    CHECK(relayed.back().size() == 8);
    CHECK(relayed.back().back().delta.base_version == 11);
    CHECK(relayed.back().back().delta.version == 12);
    CHECK(relayed.back().back().next == at(12));
}

TEST_CASE_FIXTURE(fixture, "a change rewritten at an offset that was read before is applied") {
    bool is_reader = false;
    int last = 3;
    SUBCASE("the host hears of it from its group leader") {}
    SUBCASE("the host hears of it from its group leader, and the topic ends beyond") {
        last = 5;
    }
    SUBCASE("the host reads it itself, with a long poll") {
        is_reader = true;
    }
    SUBCASE("the host reads it itself, with a long poll, and the topic ends beyond") {
        is_reader = true;
        last = 5;
    }
    daemon::configuration_follower follower(client, state, std::chrono::seconds(2), [] {});
    publish(1);
    publish(2);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(2); });
    if (is_reader) {
        follower.set_reader(true);
        run_until(loop, [&] { return store.get_calls() == 2; });
    }
    store.restore_to({{"keyed.op", 1}});
    for (int version = 3; version <= last; ++version) {
        publish(version);
    }
    if (!is_reader) {
        follower.update_leader_position({.end = at(2, 2), .age = duration::zero()});
    }
    const std::uint64_t calls = store.get_calls();
    run_until(loop, [&] { return !has_version(2) || store.get_calls() > calls + 20; });
    CHECK(has_version(static_cast<std::uint64_t>(last)));
    CHECK(follower.get_read_position().end.value().era == 2);
}

TEST_CASE_FIXTURE(fixture, "a call for any topic that shows a new era makes a host list the configuration at once") {
    daemon::configuration_follower follower(client, state, std::chrono::hours(2), [] {});
    publish(1);
    publish(2);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(2); });
    store.restore_to({{"keyed.op", 1}}, 2);
    publish(3);
    testing::run_until_done(loop, [&]() -> asio::awaitable<void> { co_await client.append("keyed.t", "k", "v"); });
    run_until(loop, [&] { return has_version(3); });
    CHECK(has_version(3));
}

TEST_CASE_FIXTURE(fixture, "a version does not go back while the store knows only an older one") {
    std::uint64_t put_in_force = 0;
    daemon::configuration_follower follower(client, state, std::chrono::seconds(2), [&] { ++put_in_force; });
    publish(1);
    store.take_copy();
    publish(2);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(2); });
    store.restore();
    follower.update_leader_position({.end = at(1, 2), .age = duration::zero()});
    run_until(loop, [&] { return follower.get_read_position().end == at(1, 2); });
    CHECK(has_version(2));
    // A host that starts now finds the older version.
    servers::serving_state other{loop.get_executor(), time, pool, dialect, metrics, {}};
    daemon::configuration_follower starting(client, other, std::chrono::seconds(2), [] {});
    asio::co_spawn(loop, starting.run(), asio::detached);
    run_until(loop, [&] { return other.get_view() != nullptr; });
    CHECK(other.get_view()->get_version() == 1);
    publish(2);
    publish(3);
    follower.update_leader_position({.end = at(3, 2), .age = duration::zero()});
    starting.update_leader_position({.end = at(3, 2), .age = duration::zero()});
    run_until(loop, [&] { return has_version(3) && other.get_view()->get_version() == 3; });
    CHECK(put_in_force == 2);
}

TEST_CASE_FIXTURE(fixture, "relayed changes and read positions of another era of the store are not taken for the own") {
    daemon::configuration_follower follower(client, state, std::chrono::hours(2), [] {});
    publish(1);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(1); });
    const auto make_change = [](const log_position& next) {
        return gossip::relayed_change{.delta = {.base_version = 1, .version = 2}, .next = next};
    };
    SUBCASE("the sender is in a newer era: this host lists") {
        store.restore_to({{"keyed.op", 1}});
        follower.apply_relayed({make_change(at(2, 2))});
        CHECK(has_version(1));
        CHECK_FALSE(follower.get_read_position().end);
        publish(5);
        run_until(loop, [&] { return has_version(5); });
        CHECK(has_version(5));
    }
    SUBCASE("the sender is in an older era: nothing changes") {
        store.set_era(2);
        follower.update_leader_position({.end = at(1, 2), .age = duration::zero()});
        run_until(loop, [&] { return follower.get_read_position().end == at(1, 2); });
        const std::uint64_t calls = store.get_calls();
        follower.apply_relayed({make_change(at(2, 1))});
        follower.update_leader_position({.end = at(9, 1), .age = duration::zero()});
        CHECK(has_version(1));
        CHECK(follower.get_read_position().end == at(1, 2));
        loop.restart();
        loop.poll();
        CHECK(store.get_calls() == calls);
    }
}

TEST_CASE_FIXTURE(fixture, "a newer version is not missed when an earlier one is written again behind it") {
    daemon::configuration_follower follower(client, state, std::chrono::seconds(2), [] {});
    publish(1);
    asio::co_spawn(loop, follower.run(), asio::detached);
    run_until(loop, [&] { return has_version(1); });
    publish(3);
    publish(2);
    follower.set_reader(true);
    run_until(loop, [&] { return follower.get_read_position().end == at(3); });
    CHECK(has_version(3));
}

TEST_CASE("a large change on a host that has just lost its leader is in force within the bound") {
    constexpr duration bound = std::chrono::seconds(3);
    constexpr duration call = std::chrono::milliseconds(50);
    // 4,000 routes take 0.76 MB, on a link of 10 Mbit/s of which callers' requests use half.
    constexpr duration transfer = std::chrono::milliseconds(1220);
    constexpr duration decoding = std::chrono::milliseconds(130);
    CHECK(daemon::configuration_follower::get_max_age(bound) + call + transfer + decoding <= bound);
}
