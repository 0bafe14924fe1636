#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <csignal>
#include <functional>
#include <thread>

#include "daemon/host_daemon.hpp"
#include "standin/raw_server.hpp"
#include "support/free_address.hpp"
#include "support/serving_fixture.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::testing::serving_fixture;
namespace asio = boost::asio;
namespace http = servers::http;

namespace {

constexpr unsigned status_ok = 200;
constexpr int max_start_attempts = 1'000'000;

constexpr std::string_view configuration = R"({"version":1,
"routes":[{"name":"once","host":"host.example","pathPrefix":"/once/","kind":"unsafe","attempts":1,"timeoutMs":60000,
"targetLatencyMs":500,"priority":0,"public":true,"service":"app"}],
"services":[{"name":"app","healthPath":"/health","maxConns":200}],"tenants":[],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":20000}})";

daemon::host_settings make_settings(const endpoint& callers, std::uint16_t store_port, duration stop_bound) {
    const endpoint any{.address = "127.0.0.1", .port = 0};
    return {.name = host_name("h1"),
            .zone = zone_name("z"),
            .address = "127.0.0.1",
            .callers = callers,
            .ready = any,
            .metrics = any,
            .hosts = any,
            .store = {.address = "127.0.0.1", .port = store_port},
            .orders = {},
            .duties = {},
            .bounds = {.server_heartbeat = std::chrono::milliseconds(1200),
                       .recovery = std::chrono::seconds(3),
                       .drain = std::chrono::seconds(2),
                       .stop = stop_bound,
                       .configuration = std::chrono::seconds(2),
                       .lease = std::chrono::seconds(3),
                       .retries_per_request = 0.2,
                       .base_retries = 50,
                       .retry_window = std::chrono::seconds(10),
                       .usage_window = std::chrono::seconds(5),
                       .usage_report = std::chrono::seconds(10)},
            .log = {}};
}

/// A daemon of one host in a thread of its own. The store, an instance of a plain service and the callers are on the
/// event loop of the test.
class running_host : public testing::store_fixture {
public:
    explicit running_host(duration stop_bound) {
        store.put("keyed.op", "config", std::string(configuration));
        const boost::json::object entry{{"service", "app"},
                                        {"addr", format_endpoint(instance.get_endpoint())},
                                        {"zone", "z"},
                                        {"version", "1"},
                                        {"slots", 8},
                                        {"state", "ready"},
                                        {"coldRemainingMs", 0},
                                        {"seq", 1},
                                        {"born", 1}};
        store.put("keyed.servers", "s1", boost::json::serialize(entry));
        m_thread = std::thread([settings = make_settings(m_callers, server.get_port(), stop_bound)] {
            daemon::host_daemon host(settings, daemon::settings_file(""), std::make_shared<log_buffer>(log_bytes));
            host.run();
        });
        for (int attempt = 0; ask().status != status_ok; ++attempt) {
            REQUIRE(attempt < max_start_attempts);
        }
    }
    running_host(const running_host&) = delete;
    running_host& operator=(const running_host&) = delete;
    running_host(running_host&&) = delete;
    running_host& operator=(running_host&&) = delete;
    ~running_host() { m_thread.join(); }

    /// Sends a request on a new connection. Returns what the caller gets.
    serving_fixture::answer ask() {
        serving_fixture::answer got;
        testing::run_until_done(loop, [&]() -> asio::awaitable<void> {
            asio::ip::tcp::socket socket(loop);
            servers::error_code fault;
            const asio::ip::tcp::endpoint address(asio::ip::make_address(m_callers.address), m_callers.port);
            co_await socket.async_connect(address, servers::store_error(fault));
            if (fault) {
                co_return;
            }
            servers::http_request request(http::verb::post, "/once/x", 11);
            for (const auto& [name, value] : serving_fixture::get_headers()) {
                request.insert(name, value);
            }
            request.prepare_payload();
            co_await http::async_write(socket, request, asio::use_awaitable);
            got = co_await serving_fixture::read_answer(socket);
        });
        return got;
    }

    standin::raw_server instance{loop, serving_fixture::answer_with(status_ok, "ok")};

private:
    static constexpr std::size_t log_bytes = 64UL * 1024;

    endpoint m_callers = testing::find_free_address<asio::ip::tcp>(loop);
    std::thread m_thread;
};

} // namespace

TEST_CASE("a request that still runs at the end of a stop gets an answer") {
    running_host host(std::chrono::seconds(1));
    host.instance.set_behaviour([](const servers::http_request&, raw_connection& connection) -> asio::awaitable<void> {
        std::raise(SIGTERM);
        co_await connection.wait_for_end();
    });
    const serving_fixture::answer got = host.ask();
    CHECK_FALSE(got.is_cut);
    CHECK(got.status == 502);
}
