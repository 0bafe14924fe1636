#include <doctest/doctest.h>
#include <fmt/format.h>

#include "daemon/server_list_follower.hpp"
#include "platform/engine_codec.hpp"
#include "support/event_loop.hpp"
#include "support/run_in_time.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::testing::run_until;
using namespace std::chrono_literals;

namespace {

const std::string servers_topic = "keyed.servers";
constexpr int true_servers = 4;

/// Returns the entry of a server at an address of its own number.
std::string make_entry(const std::string& service, int number, std::int64_t born, const std::string& state = "ready") {
    return fmt::format(R"({{"service":"{}","addr":"10.0.0.{}:80","zone":"z","version":"1","slots":4,)"
                       R"("state":"{}","coldRemainingMs":0,"seq":1,"born":{}}})",
                       service, number, state, born);
}

struct fixture : testing::store_fixture {
    virtual_clock clock;
    platform::engine_codec dialect;
    servers::serving_state state{loop.get_executor(), clock, pool, dialect, metrics, {}};
    platform::store_client client = make_client();
    std::optional<daemon::server_list_follower> follower;

    void put_true_entries() {
        for (int number = 1; number <= true_servers; ++number) {
            store.put(servers_topic, fmt::format("i-{}", number), make_entry("app", number, 10));
        }
    }

    void put_foreign_entries(std::int64_t born, const std::string& state_name = "ready") {
        for (int number = 1; number <= true_servers; ++number) {
            store.put(servers_topic, fmt::format("x-{}", number), make_entry("app-legacy", number, born, state_name));
        }
    }

    void configure() {
        fleet::serving_configuration view;
        view.version = 1;
        view.services = {{.name = service_name("app")}};
        state.set_view(std::make_shared<fleet::serving_view>(view));
    }

    void start() {
        follower.emplace(client, state, 2s);
        boost::asio::co_spawn(loop, follower->run(), boost::asio::detached);
        run_until(loop, [this] { return follower->is_loaded(); });
    }

    void read_to(std::uint64_t offset) {
        testing::run_in_time_until(
            loop, clock, [&] { return follower->get_read_position().end == log_position{.era = 1, .offset = offset}; });
    }

    [[nodiscard]] int count_usable() const {
        int found = 0;
        for (int number = 1; number <= true_servers; ++number) {
            found += state.may_get_work(backend_server_name(fmt::format("i-{}", number))) ? 1 : 0;
        }
        return found;
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "entries of a service that is not configured, at the addresses of all servers, end no service") {
    SUBCASE("listed at the start, configuration first") {
        configure();
        put_true_entries();
        put_foreign_entries(20);
        start();
    }
    SUBCASE("listed at the start, configuration later") {
        put_true_entries();
        put_foreign_entries(20);
        start();
        configure();
    }
    SUBCASE("written while the host runs") {
        configure();
        put_true_entries();
        start();
        put_foreign_entries(20);
        read_to(2 * true_servers);
    }
    SUBCASE("draining, with the start of the servers") {
        configure();
        put_true_entries();
        put_foreign_entries(10, "draining");
        start();
    }
    CHECK(count_usable() == true_servers);
}

TEST_CASE_FIXTURE(fixture,
                  "an entry of a service that is not configured under a server's name ends with the next heartbeat") {
    configure();
    put_true_entries();
    start();
    store.put(servers_topic, "i-1", make_entry("app-legacy", 1, 4'000'000'000'000'000));
    read_to(true_servers + 1);
    store.put(servers_topic, "i-1", make_entry("app", 1, 10));
    read_to(true_servers + 2);
    CHECK(count_usable() == true_servers);
}
