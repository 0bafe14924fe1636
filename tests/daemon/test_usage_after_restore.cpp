#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "coordination/usage_state.hpp"
#include "daemon/store_topics.hpp"
#include "daemon/usage_recorder.hpp"
#include "daemon/usage_reporter.hpp"
#include "platform/engine_codec.hpp"
#include "servers/http_server.hpp"
#include "standin/store_standin.hpp"
#include "support/event_loop.hpp"

using namespace dragonflywell;
using dragonflywell::testing::run_until;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr duration window_length = 5s;
constexpr duration report_due = 1s;
const organisation_name rovers("rovers");

/// The platform's interface for usage reports; accepts every report.
class report_receiver final : public servers::http_handler {
public:
    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override {
        const boost::json::object report = boost::json::parse(request.body()).as_object();
        const std::int64_t window = report.at("windowSeq").to_number<std::int64_t>();
        const std::string counts = boost::json::serialize(report.at("counts"));
        const auto [found, is_new] = reported.try_emplace(window, counts);
        if (!is_new && found->second != counts) {
            ++conflicts;
        }
        co_await caller.send(servers::http_response(servers::http::status::ok, 11));
    }
    void on_malformed(servers::http::status /*status*/) override {}

    /// The counts of each reported window.
    std::map<std::int64_t, std::string> reported;
    /// Reports of a window with other counts than before.
    int conflicts{0};
};

/// A host that may hold the lease and report usage, on a virtual clock.
struct fixture {
    asio::io_context loop{1};
    virtual_clock clock;
    servers::backend_connection_pool pool{clock, {}};
    metrics_registry metrics;
    standin::store_standin store;
    report_receiver receiver;
    servers::http_server store_server{{&loop}, store, {.listen = {.address = "127.0.0.1", .port = 0}, .limits = {}}};
    servers::http_server receiver_server{
        {&loop}, receiver, {.listen = {.address = "127.0.0.1", .port = 0}, .limits = {}}};
    platform::engine_codec dialect;
    servers::serving_state state{loop.get_executor(), clock, pool, dialect, metrics, {.usage_window = window_length}};
    std::optional<platform::store_client> client;
    std::optional<platform::cloud_client> cloud;
    std::optional<daemon::lease_keeper> lease;
    std::optional<daemon::usage_reporter> reporter;
    std::int64_t window{0};

    fixture() {
        store_server.start();
        receiver_server.start();
        client.emplace(
            pool, metrics,
            platform::store_client_options{.address = {.address = "127.0.0.1", .port = store_server.get_port()}});
        cloud.emplace(
            pool, metrics,
            platform::cloud_client_options{.address = {.address = "127.0.0.1", .port = receiver_server.get_port()}});
        // Shortly after the window's figures are due.
        const wall_time now = state.get_corrected_time();
        state.adjust_corrected_time(state.usage.get_end(state.usage.get_window(now)) - now + 1s);
        window = state.usage.get_window(state.get_corrected_time()) - 1;
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;
    ~fixture() {
        store_server.stop();
        receiver_server.stop();
        pool.clear();
    }

    void start_reporter() {
        lease.emplace(
            *client, clock,
            coordination::store_lease_options{.holder = "h1", .incarnation = 1, .length = 3s, .takeover_delay = 3s});
        reporter.emplace(*client, *cloud, *lease, state, metrics, "h1", report_due);
        asio::co_spawn(loop, lease->run(), asio::detached);
        asio::co_spawn(loop, reporter->run(), asio::detached);
    }
    void put_usage(const std::string& host, std::int64_t counted, std::uint64_t count) {
        store.put(std::string(daemon::topics::usage), coordination::make_usage_key(host, 1),
                  coordination::encode_usage_record({.windows = {{counted, {{rovers, count}}}}, .closed = counted}));
    }
    [[nodiscard]] std::optional<coordination::report_state> get_report_state() {
        const std::optional<std::string> text =
            store.get(std::string(daemon::topics::reports), std::string(daemon::topics::singleton_key));
        return text ? std::optional(coordination::decode_report_state(*text)) : std::nullopt;
    }
    [[nodiscard]] std::size_t get_lease_records() {
        return store.get_history(std::string(daemon::topics::lease)).size();
    }
    /// Advances the clock a second at a time, with a renewal of the lease in each, until the condition holds.
    template <typename Condition>
    void run_with_renewals(Condition condition) {
        constexpr int max_seconds = 20;
        for (int second = 0; second < max_seconds && !condition(); ++second) {
            const std::size_t records = get_lease_records();
            clock.advance(1s);
            run_until(loop, [&] { return condition() || get_lease_records() > records; });
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "usage of a window is not finalised again with other figures after the store returns from an "
                  "older copy") {
    put_usage("h2", window, 3);
    start_reporter();
    run_until(loop, [&] { return receiver.reported.contains(window); });
    CHECK(receiver.reported.at(window) == R"({"rovers":3})");
    const std::optional<std::uint64_t> fence = lease->get_fencing_number();
    store.restore_to({{std::string(daemon::topics::lease), 0}, {std::string(daemon::topics::reports), 0}});
    put_usage("h3", window, 2);
    put_usage("h4", window + 1, 4);
    run_with_renewals([&] { return receiver.reported.contains(window + 1); });
    CHECK(receiver.conflicts == 0);
    CHECK(receiver.reported.at(window + 1) == R"({"rovers":4})");
    CHECK(lease->get_fencing_number() > fence);
    CHECK(lease->get_term() == fence);
    CHECK(get_report_state()->era == store.get_era());
}

TEST_CASE_FIXTURE(fixture, "a new holder does not report windows whose final figures the store may have lost") {
    REQUIRE(store.get_era() == 1);
    const coordination::report_state stored{.last = window - 1, .pending = {}, .era = 0, .settled = window - 2};
    store.put(std::string(daemon::topics::reports), std::string(daemon::topics::singleton_key),
              coordination::encode_report_state(stored));
    put_usage("h2", window, 3);
    start_reporter();
    run_until(loop, [&] { return get_report_state()->era == store.get_era(); });
    CHECK(receiver.reported.empty());
    const std::int64_t next = *get_report_state()->last + 1;
    put_usage("h3", next, 4);
    run_with_renewals([&] { return receiver.reported.contains(next); });
    CHECK(metrics.get_counter("dragonflywell_usage_windows_skipped_total").get() > 0);
    CHECK_FALSE(receiver.reported.contains(window));
    CHECK(receiver.reported.at(next) == R"({"rovers":4})");
}

TEST_CASE_FIXTURE(fixture, "a host records its usage again after the store returns from an older copy") {
    daemon::usage_recorder recorder(*client, state, "h1", 1);
    state.usage.add(rovers, state.usage.get_end(window) + 1ms);
    asio::co_spawn(loop, recorder.run(), asio::detached);
    const auto is_recorded = [&] {
        return store.get(std::string(daemon::topics::usage), coordination::make_usage_key("h1", 1)).has_value();
    };
    loop.poll();
    clock.advance(window_length);
    run_until(loop, is_recorded);
    store.restore_to({{std::string(daemon::topics::usage), 0}});
    REQUIRE_FALSE(is_recorded());
    testing::run_until_done(loop,
                            [&]() -> asio::awaitable<void> { co_await client->read_newest(daemon::topics::reports); });
    run_until(loop, is_recorded);
    CHECK(is_recorded());
}

TEST_CASE_FIXTURE(fixture, "an entry of another writer beside the report state costs no window") {
    store.put(std::string(daemon::topics::reports), "odd one", "not a state");
    put_usage("h2", window, 3);
    start_reporter();
    run_until(loop, [&] { return get_report_state().has_value(); });
    run_with_renewals([&] { return receiver.reported.contains(window); });
    CHECK(receiver.reported.contains(window));
    CHECK(metrics.get_counter("dragonflywell_usage_windows_skipped_total").get() == 0);
}
