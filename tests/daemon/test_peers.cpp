#include <doctest/doctest.h>

#include <fmt/format.h>
#include <string>
#include <thread>

#include "coordination/configuration.hpp"
#include "daemon/daemon.hpp"
#include "platform/http_log.hpp"
#include "standin/platform_standin.hpp"
#include "support/running_standin.hpp"

using namespace dragonflywell;
namespace http = boost::beast::http;

namespace {

std::string get_settings(const std::string& host, const endpoint& log, const std::string& seeds) {
    return fmt::format("[host]\nname = \"{}\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n"
                       "operators = \"127.0.0.1:0\"\n[platform]\nlog = \"{}\"\nlog_deadline_ms = 200\n"
                       "[configuration]\npoll_ms = 10\n[peers]\nlisten = \"127.0.0.1:0\"\nseeds = [{}]\n"
                       "interval_ms = 50\n[stop]\nnotice_ms = 0\n[log]\nlevel = \"error\"\n",
                       host, format_endpoint(log), seeds);
}

/// Reads the number of one metric from a daemon's operator port.
long get_metric(const daemon::daemon& host, const std::string& name) {
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.connect({boost::asio::ip::make_address("127.0.0.1"), host.get_operator_port()});
    const http::request<http::empty_body> request(http::verb::get, "/metrics", 11);
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(stream, buffer, response);
    const std::size_t found = response.body().find("\n" + name + " ");
    return found == std::string::npos ? -1 : std::stol(response.body().substr(found + name.size() + 2));
}

template <typename Condition>
void wait_until(Condition condition) {
    while (!condition()) {
        std::this_thread::yield();
    }
}

/// Publishes one entry and returns the version that it made; other records of the stream may lie before it.
long publish(const endpoint& log, const std::string& region, std::optional<coordination::log_offset> base) {
    platform::http_log platform_log({.server = log});
    coordination::folded_stream stream(platform_log, std::string(coordination::configuration_stream),
                                       {.host = "operator", .incarnation = base ? *base + 2 : 1});
    stream.poll();
    return static_cast<long>(coordination::publish_configuration(
        stream, {.set = {{"zones/a", fmt::format(R"({{"region":"{}"}})", region)}}, .removed = {}}, base));
}

class peer_pair {
public:
    peer_pair() {
        publish(m_platform.get_endpoint(), "r1", {});
        first.start();
        wait_until([this] { return first.is_ready(); });
    }

    [[nodiscard]] std::string get_seed() const {
        return fmt::format("\"127.0.0.1:{}\"", get_metric(first, "dragonflywell_peer_port"));
    }
    [[nodiscard]] endpoint get_log() const { return m_platform.get_endpoint(); }

private:
    testing::running_standin<standin::platform_standin> m_platform;

public:
    daemon::daemon first{daemon::parse_daemon_settings(get_settings("h1", m_platform.get_endpoint(), ""), "h1.toml")};
};

} // namespace

TEST_CASE("daemons find each other, and one that leaves is gone from the others") {
    const peer_pair pair;
    {
        daemon::daemon second(
            daemon::parse_daemon_settings(get_settings("h2", pair.get_log(), pair.get_seed()), "h2.toml"));
        second.start();
        wait_until([&] { return get_metric(pair.first, "dragonflywell_peers_in_zone") == 1; });
        wait_until([&] { return get_metric(second, "dragonflywell_peers_in_zone") == 1; });
        const long published = publish(pair.get_log(), "r2", 0);
        wait_until([&] { return get_metric(second, "dragonflywell_configuration_version") == published; });
        second.stop();
    }
    wait_until([&] { return get_metric(pair.first, "dragonflywell_peers_in_zone") == 0; });
    CHECK(pair.first.is_ready());
}

TEST_CASE("a fresh host takes the configuration from another while the log is down for it") {
    const peer_pair pair;
    endpoint nothing;
    {
        const testing::running_standin<standin::platform_standin> ended;
        nothing = ended.get_endpoint();
    }
    daemon::daemon fresh(daemon::parse_daemon_settings(get_settings("h2", nothing, pair.get_seed()), "h2.toml"));
    fresh.start();
    wait_until([&] { return fresh.is_ready(); });
    CHECK(get_metric(fresh, "dragonflywell_configuration_version") == 0);
}
