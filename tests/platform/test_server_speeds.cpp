#include <doctest/doctest.h>

#include <set>

#include "core/error.hpp"
#include "core/json.hpp"
#include "servers/server_speed_report.hpp"
#include "servers/server_speed_sharing.hpp"
#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;
using namespace std::chrono_literals;
using testing::serving_fixture;

namespace {

const service_name app("app");
constexpr duration work = 100ms;

/// A host that knows instances of a plain service, in virtual time.
struct speed_fixture {
    explicit speed_fixture(bool learns_server_speeds = true, std::size_t servers = 2)
        : state(loop.get_executor(), time, pool, codec, metrics, {.learns_server_speeds = learns_server_speeds}) {
        for (std::size_t number = 0; number < servers; ++number) {
            const std::string name = "s" + std::to_string(number);
            state.eligibility.get_list().apply({.id = backend_server_name(name),
                                                .service = app,
                                                .address = {.address = "127.0.0.1", .port = 1},
                                                .zone = zone_name("z"),
                                                .slots = 8,
                                                .started_at_ms = 1},
                                               time.now());
        }
    }

    /// Observes batches of four requests to each server; those to the first one take longer by the factor.
    void observe(int batches, int factor) {
        constexpr std::size_t batch_size = 4;
        policy::server_speed_estimator& estimator = state.speeds[app].estimator;
        for (int batch = 0; batch < batches; ++batch) {
            std::vector<std::uint64_t> numbers;
            for (const auto& [server, listed] : state.eligibility.get_list().get_servers()) {
                for (std::size_t request = 0; request < batch_size; ++request) {
                    numbers.push_back(estimator.start(server, work, 0.5, time.now()));
                }
            }
            time.advance(work);
            for (std::size_t index = batch_size; index < numbers.size(); ++index) {
                estimator.finish(numbers[index], time.now());
            }
            time.advance(work * (factor - 1));
            for (std::size_t index = 0; index < batch_size; ++index) {
                estimator.finish(numbers[index], time.now());
            }
            estimator.refresh(time.now());
        }
    }

    [[nodiscard]] double get_speed(const std::string& server) {
        state.speeds[app].estimator.refresh(time.now());
        return state.speeds[app].estimator.get_speed(backend_server_name(server), 0.5);
    }

    virtual_clock time;
    boost::asio::io_context loop{1};
    backend_connection_pool pool{time, {}};
    platform::engine_codec codec;
    metrics_registry metrics;
    serving_state state;
};

} // namespace

TEST_CASE("what a host has learned of servers applies to a host of its group that starts") {
    speed_fixture sender;
    sender.observe(30, 3);
    CHECK(sender.get_speed("s0") < 0.8);
    host_digest digest;
    digest.host = "sender";
    digest.speeds = speed_announcer().take(sender.state);
    const host_digest received = decode_host_digest(encode_host_digest(digest));
    speed_fixture receiver;
    merge_speeds(receiver.state, received.host, received.speeds, 10ms);
    CHECK(receiver.get_speed("s0") < 0.8);
    CHECK(receiver.get_speed("s1") > receiver.get_speed("s0") * 1.5);
    // It does not pass on as its own what it has only heard.
    CHECK(speed_announcer().take(receiver.state).empty());
    receiver.state.remove_host("sender");
    receiver.time.advance(1s);
    CHECK(receiver.get_speed("s0") == 1);
}

TEST_CASE("a host that does not learn speeds ignores and sends none") {
    speed_fixture sender;
    sender.observe(30, 3);
    speed_fixture receiver(false);
    merge_speeds(receiver.state, "sender", speed_announcer().take(sender.state), 10ms);
    CHECK(receiver.get_speed("s0") == 1);
    CHECK(find_speed_estimator(receiver.state, backend_server_name("s0")) == nullptr);
}

// Guards against digests that fill the link of a small host.
TEST_CASE("digests name a bounded number of servers, and all of them in turn") {
    constexpr std::size_t servers = 100;
    speed_fixture fixture(true, servers);
    fixture.observe(10, 2);
    speed_announcer announcer;
    std::set<backend_server_name> named;
    for (std::size_t turn = 0; turn * speed_announcer::max_servers < servers; ++turn) {
        host_digest digest;
        const std::size_t before = encode_host_digest(digest).size();
        digest.speeds = announcer.take(fixture.state);
        CHECK(digest.speeds.size() <= speed_announcer::max_servers);
        CHECK(encode_host_digest(digest).size() - before <= speed_announcer::max_servers * 60);
        for (const auto& [server, sums] : digest.speeds) {
            named.insert(server);
        }
    }
    CHECK(named.size() == servers);
}

TEST_CASE("speeds in a digest that no observations could have are rejected") {
    for (const char* text :
         {R"({"s":[100,0,0,0]})", R"({"s":[100,0,0,"x",0]})", R"({"s":[-100,0,0,0,0]})", R"({"s":[100,0,0,600,0]})",
          R"({"s":[100,-1,0,0,0]})", R"({"s":[0,0,0,1,0]})", R"({"s":[1e300,0,0,0,0]})", R"({"s":5})"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(decode_speeds(json::as_object(json::parse(text), "speeds"))),
                        malformed_message_error);
    }
    CHECK(decode_speeds(json::as_object(json::parse(R"({"s":[100,50,25,-40,-20]})"), "speeds")).size() == 1);
}

// Guards against a log that fills while many servers change.
TEST_CASE("a change of speeds is counted and logged a few lines at a time") {
    speed_fixture fixture(true, 20);
    fixture.observe(20, 4);
    CHECK(fixture.metrics.get_gauge("dragonflywell_slower_servers").get() == 0);
    server_speed_report report(fixture.state, fixture.metrics);
    report.run();
    CHECK(fixture.metrics.get_gauge("dragonflywell_slower_servers").get() == 1);
    CHECK(fixture.metrics.get_gauge("dragonflywell_lowest_server_speed_percent").get() < 70);
    CHECK(fixture.metrics.get_counter("dragonflywell_server_speed_changes_total").get() <= 2);
}

// Guards against a host that was frozen and takes all servers with its requests for slow.
TEST_CASE("a host that was frozen forgets what it had learned") {
    speed_fixture fixture;
    server_speed_report report(fixture.state, fixture.metrics);
    fixture.observe(30, 3);
    report.run();
    CHECK(fixture.get_speed("s0") < 0.8);
    fixture.time.suspend(5s);
    report.run();
    fixture.time.advance(100ms);
    CHECK(fixture.get_speed("s0") == 1);
}

TEST_CASE_FIXTURE(serving_fixture, "a plain request goes to the instance that is known to be faster") {
    configure();
    std::map<std::string, int> served;
    for (const char* name : {"a", "b"}) {
        add_server(
            name, {},
            [&served, name](const http_request& request, standin::raw_connection& connection) -> asio::awaitable<void> {
                ++served[name];
                co_await connection.write(make_answer(request, 200, ""));
            });
    }
    const policy::speed_sums slow{.weight = 50, .load = 25, .squared_load = 13, .slowness = 40, .slowness_by_load = 20};
    const policy::speed_sums fast{
        .weight = 50, .load = 25, .squared_load = 13, .slowness = -40, .slowness_by_load = -20};
    merge_speeds(state, "other", {{backend_server_name("a"), slow}, {backend_server_name("b"), fast}}, 0ms);
    for (int request = 0; request < 3; ++request) {
        CHECK(ask(http::verb::get, "/safe/x").status == 200);
    }
    CHECK(served["a"] == 0);
    CHECK(served["b"] == 3);
    // The requests were observed.
    CHECK(state.speeds[app].estimator.get_own_sums(time.now()).contains(backend_server_name("b")));
}
