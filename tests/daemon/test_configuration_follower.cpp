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
    follower.update_leader_position({.end = 3, .age = duration::zero()});
    // More than one record is missing, so the follower reads the listing, which contains only the invalid
    // configuration. The next valid one must then be put in force.
    publish(4);
    follower.update_leader_position({.end = 4, .age = duration::zero()});
    run_until(loop, [&] { return has_version(4); });
    CHECK(has_version(4));
}
