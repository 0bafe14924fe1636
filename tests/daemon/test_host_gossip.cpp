#include "daemon/host_gossip.hpp"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "servers/request_refused.hpp"

#include "platform/engine_codec.hpp"
#include "support/advanced_clock.hpp"
#include "support/event_loop.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::testing::run_until;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const backend_server_name server_id("i-1");

std::string make_entry(const std::string& state) {
    return fmt::format(R"({{"service":"app","addr":"10.0.0.1:80","zone":"z","version":"1","slots":4,"state":"{}",)"
                       R"("coldRemainingMs":0,"seq":1,"born":1}})",
                       state);
}

/// Returns an address of this machine on which no other program receives datagrams.
endpoint find_datagram_address(asio::io_context& loop) {
    const asio::ip::udp::socket socket(loop, {asio::ip::make_address("127.0.0.1"), 0});
    return {.address = "127.0.0.1", .port = socket.local_endpoint().port()};
}

/// One host that reaches the store through a server of its own, so that its path can be cut.
class host {
public:
    host(testing::store_fixture& fixture, const clock_source& clock, const std::string& name)
        : m_entry({&fixture.loop}, fixture.store, {.listen = {.address = "127.0.0.1", .port = 0}, .limits = {}}),
          m_pool(clock, {}), state(fixture.loop.get_executor(), clock, m_pool, m_dialect, metrics,
                                   {.own_host = name, .own_zone = zone_name("z")}),
          m_store(m_pool, metrics, {.address = start(m_entry)}), m_configuration(m_store, state, 2s, [] {}),
          m_servers(m_store, state, 2s), m_lease(m_store, clock, {.holder = name}),
          m_gossip(fixture.loop, m_store, state, m_configuration, m_servers, m_lease, metrics,
                   {.host = name,
                    .zone = zone_name("z"),
                    .incarnation = 1,
                    .listen = find_datagram_address(fixture.loop),
                    .capacity = {.link_bytes_per_second = 1'000'000}}) {
        asio::co_spawn(fixture.loop, m_servers.run(), asio::detached);
        m_gossip.start();
    }
    host(const host&) = delete;
    host& operator=(const host&) = delete;
    host(host&&) = delete;
    host& operator=(host&&) = delete;
    ~host() {
        m_entry.stop();
        m_pool.clear();
    }

    void cut_off() { m_entry.stop(); }

    [[nodiscard]] bool uses_server() const { return state.is_usable(server_id); }
    [[nodiscard]] bool hears_other() const { return m_gossip.count_reachable_hosts() > 0; }
    [[nodiscard]] std::uint64_t get_failures() {
        return metrics.get_counter("dragonflywell_store_failures_total").get();
    }

private:
    static endpoint start(servers::http_server& entry) {
        entry.start();
        return {.address = "127.0.0.1", .port = entry.get_port()};
    }

    servers::http_server m_entry;
    servers::backend_connection_pool m_pool;
    platform::engine_codec m_dialect;

public:
    metrics_registry metrics;
    servers::serving_state state;

private:
    platform::store_client m_store;
    daemon::configuration_follower m_configuration;
    daemon::server_list_follower m_servers;
    daemon::lease_keeper m_lease;
    daemon::host_gossip m_gossip;
};

struct fixture : testing::store_fixture {
    testing::advanced_clock clock;
    /// Ends a wait for something that does not happen.
    asio::steady_timer limit{loop};

    /// Runs the loop until the condition holds. Returns whether it does, after a time that is far longer than needed.
    template <typename Condition>
    bool wait_for(Condition condition) {
        constexpr duration max_time = 20s;
        bool is_over = false;
        limit.expires_after(max_time);
        limit.async_wait([&](const servers::error_code& fault) { is_over = !fault; });
        run_until(loop, [&] { return is_over || condition(); });
        limit.cancel();
        loop.poll();
        return condition();
    }
};

} // namespace

// Guards against DRAIN: hosts that were cut off from the store learned from nobody that a server leaves.
TEST_CASE_FIXTURE(fixture,
                  "a group leader that the store does not answer learns from another host that a server drains") {
    store.put("keyed.servers", server_id.value(), make_entry("ready"));
    host leader(*this, clock, "a");
    host other(*this, clock, "b");
    REQUIRE(wait_for([&] { return leader.uses_server() && other.uses_server(); }));
    REQUIRE(wait_for([&] { return leader.hears_other() && other.hears_other(); }));
    leader.cut_off();
    REQUIRE(wait_for([&] { return leader.get_failures() > 0; }));
    clock.advance(1100ms);
    store.put("keyed.servers", server_id.value(), make_entry("draining"));
    CHECK(wait_for([&] { return !leader.uses_server(); }));
    CHECK_FALSE(other.uses_server());
}

// Guards against quotas whose shares stay at each host, and against datagrams without a quota.
TEST_CASE_FIXTURE(fixture, "hosts pool their shares of a quota, and send nothing about quotas without one") {
    host one(*this, clock, "a");
    host two(*this, clock, "b");
    REQUIRE(wait_for([&] { return one.hears_other() && two.hears_other(); }));
    const auto count_requests = [](host& sender) {
        return sender.metrics.get_counter("dragonflywell_datagrams_sent_total", {{"kind", "quota_request"}}).get();
    };
    CHECK(count_requests(one) + count_requests(two) == 0);

    // The bucket of both hosts holds 37 requests, that of each less than 19.
    fleet::serving_configuration configuration;
    configuration.version = 1;
    configuration.organisations = {
        {.name = organisation_name("org"),
         .priority = {},
         .keys = {},
         .quota = fleet::quota{
             .rate_per_second = 1000, .burst = 0, .unit = fleet::quota_unit::requests, .plain_tokens = 0}}};
    for (host* each : {&one, &two}) {
        each->state.set_view(std::make_shared<fleet::serving_view>(configuration));
    }
    for (host* each : {&one, &two}) {
        bool is_admitted = false;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                for (;;) {
                    constexpr double more_than_own_share = 30;
                    try {
                        co_await each->state.quotas.acquire(organisation_name("org"), more_than_own_share, 1s);
                        is_admitted = true;
                        co_return;
                    } catch (const servers::request_refused& refused) {
                        CHECK(refused.get_outcome() == policy::request_outcome::not_run);
                    }
                    asio::steady_timer pause(loop, 20ms);
                    co_await pause.async_wait(asio::use_awaitable);
                }
            },
            asio::detached);
        CHECK(wait_for([&] { return is_admitted; }));
    }
    CHECK(count_requests(one) + count_requests(two) > 0);
}

// Guards against LIMIT: each host kept to a limit that only it knew of, as if it were alone.
TEST_CASE_FIXTURE(fixture,
                  "hosts tell each other of the limit of a server, and send nothing about limits without one") {
    store.put("keyed.servers", server_id.value(), make_entry("ready"));
    host one(*this, clock, "a");
    host two(*this, clock, "b");
    REQUIRE(wait_for([&] { return one.uses_server() && two.uses_server(); }));
    REQUIRE(wait_for([&] { return one.hears_other() && two.hears_other(); }));
    const auto count_requests = [](host& sender) {
        return sender.metrics.get_counter("dragonflywell_datagrams_sent_total", {{"kind", "limit_request"}}).get();
    };
    CHECK(count_requests(one) + count_requests(two) == 0);
    one.state.apply_notice(server_id, 1, {.names_limit = true, .limit = 2}, clock.now());
    CHECK(wait_for([&] { return two.state.limits.find_limit(server_id).has_value(); }));
    CHECK(wait_for([&] { return count_requests(one) + count_requests(two) > 0; }));
    // The shares of both are with one owner, so that each host gets whole requests.
    for (host* each : {&one, &two}) {
        bool is_admitted = false;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                for (;;) {
                    const servers::permit_result taken = co_await each->state.limits.acquire(server_id, 1s);
                    if (taken.permit) {
                        is_admitted = true;
                        co_return;
                    }
                    asio::steady_timer pause(loop, 20ms);
                    co_await pause.async_wait(asio::use_awaitable);
                }
            },
            asio::detached);
        CHECK(wait_for([&] { return is_admitted; }));
    }
    // Others believe the end of a limit only if it was seen two seconds after the limit was named.
    clock.advance(3s);
    two.state.apply_notice(server_id, 1, {.is_of_request = true}, clock.now());
    CHECK(wait_for([&] { return !one.state.limits.find_limit(server_id).has_value(); }));
}
