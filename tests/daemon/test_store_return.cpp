#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "daemon/configuration_follower.hpp"
#include "daemon/server_list_follower.hpp"
#include "platform/engine_codec.hpp"
#include "support/event_loop.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::testing::run_until;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Short durations, since the timers that use them run in real time.
constexpr duration bound = 20ms;
constexpr policy::circuit_breaker_options breaker{.initial_backoff = 2ms, .max_backoff = 10ms};

/// One host that reads the configuration and the server list itself, on a virtual clock.
struct fixture {
    asio::io_context loop{1};
    virtual_clock clock;
    servers::backend_connection_pool pool{clock, {}};
    metrics_registry metrics;
    standin::store_standin store;
    servers::http_server server{{&loop}, store, {.listen = {.address = "127.0.0.1", .port = 0}, .limits = {}}};
    platform::engine_codec dialect;
    servers::serving_state state{loop.get_executor(), clock, pool, dialect, metrics, {}};
    std::optional<platform::store_client> client;
    std::optional<daemon::configuration_follower> configuration;
    std::optional<daemon::server_list_follower> servers;

    fixture() {
        server.start();
        const endpoint address{.address = "127.0.0.1", .port = server.get_port()};
        client.emplace(pool, metrics, platform::store_client_options{.address = address, .breaker = breaker});
        configuration.emplace(*client, state, bound, [] {});
        servers.emplace(*client, state, bound);
        publish(1);
        list_server("i-1", 81);
        asio::co_spawn(loop, configuration->run(), asio::detached);
        asio::co_spawn(loop, servers->run(), asio::detached);
        run_until(loop, [this] { return has_version(1) && is_listed("i-1"); });
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;
    ~fixture() {
        server.stop();
        pool.clear();
    }

    void publish(int version) {
        store.put("keyed.op", "config", fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
    }
    void list_server(const std::string& name, int port) {
        store.put("keyed.servers", name,
                  fmt::format(R"({{"service":"app","addr":"10.0.0.1:{}","zone":"z","version":"1","slots":4,)"
                              R"("state":"ready","coldRemainingMs":0,"seq":1,"born":1}})",
                              port));
    }
    [[nodiscard]] std::uint64_t get_failures() {
        return metrics.get_counter("dragonflywell_store_failures_total").get();
    }
    [[nodiscard]] bool has_version(std::uint64_t version) const {
        return state.get_view() != nullptr && state.get_view()->get_version() == version;
    }
    [[nodiscard]] bool is_listed(const std::string& name) const {
        return state.eligibility.get_list().find(backend_server_name(name)) != nullptr;
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "after a store outage of twelve seconds, one successful call lets a host apply all changes") {
    store.set_refusing(true);
    clock.advance(bound);
    for (int second = 0; second < 12; ++second) {
        const std::uint64_t failures = get_failures();
        clock.advance(1s);
        run_until(loop, [&] { return get_failures() > failures; });
    }
    publish(2);
    publish(3);
    store.put("keyed.servers", "i-1", "");
    list_server("i-2", 82);
    store.set_refusing(false);
    // The clock advances only to the next call. The callers that wait behind it continue when it succeeds.
    clock.advance(1s);
    const std::uint64_t calls = store.get_calls();
    run_until(loop, [&] { return has_version(3) && is_listed("i-2"); });
    CHECK(has_version(3));
    CHECK(is_listed("i-2"));
    CHECK(store.get_calls() - calls <= 4);
    // The entry may have expired during the outage; its server may register again until 2.5 s after the last failed
    // call.
    CHECK(state.is_usable(backend_server_name("i-1")));
    clock.advance(1500ms);
    CHECK_FALSE(state.is_usable(backend_server_name("i-1")));
}
