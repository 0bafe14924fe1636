#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "daemon/digest_builder.hpp"
#include "platform/engine_codec.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hosts_of_other_groups = 280;
constexpr std::size_t heartbeats_per_second = 2;
/// 20 Mbit/s, the smallest link of the large fleet.
constexpr std::size_t link_bytes_per_second = 2'500'000;
/// What the exchange between hosts may use of a link; the rest is for requests.
constexpr std::size_t link_part = 5;
/// Requests that ran on 60 engines which went dark together.
constexpr std::uint64_t crashed_requests = 600;

} // namespace

TEST_CASE_FIXTURE(testing::store_fixture, "engines that go dark together fill the link of the host that leads a group" *
                                              doctest::should_fail()) {
    platform::engine_codec codec;
    servers::serving_state state(loop.get_executor(), time, pool, codec, metrics,
                                 {.own_host = "a", .own_zone = zone_name("z")});
    platform::store_client client = make_client();
    const daemon::configuration_follower configuration(client, state, 4s, [] {});
    const daemon::server_list_follower servers(client, state, 4s);
    const daemon::lease_keeper lease(client, time, {.holder = "a"});
    const daemon::group_usage_recorder usage(client, state, 1s);
    daemon::digest_builder builder(state, configuration, servers, lease, usage, {.host = "a", .incarnation = 1},
                                   zone_name("z"));
    for (std::uint64_t number = 1; number <= crashed_requests; ++number) {
        const std::uint64_t id = number * 0x9E3779B97F4A7C15;
        state.suspects.record_crash({.fingerprint = id, .crash_id = ~id, .moment = state.get_corrected_time()});
        state.record_part_crash({.crash_id = ~id, .parts = {id, id + 1}, .moment = state.get_corrected_time()});
    }
    const std::string digest =
        servers::encode_host_digest(builder.make_intergroup_digest({.is_group_leader = true, .is_heartbeat = true}));
    CHECK(digest.size() * hosts_of_other_groups * heartbeats_per_second <= link_bytes_per_second / link_part);
}
