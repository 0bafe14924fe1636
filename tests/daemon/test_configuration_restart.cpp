#include <doctest/doctest.h>
#include <fmt/format.h>
#include <thread>

#include "coordination/configuration.hpp"
#include "coordination/leased_snapshot_writer.hpp"
#include "daemon/daemon.hpp"
#include "platform/blocking_http_client.hpp"
#include "platform/http_log.hpp"
#include "standin/platform_standin.hpp"
#include "support/running_standin.hpp"

using namespace dragonflywell;

TEST_CASE("a daemon that starts after the log has dropped the configuration records restores it from the snapshot") {
    testing::running_standin<standin::platform_standin> platform;
    platform::http_log log({.server = platform.get_endpoint()});
    coordination::folded_stream stream(log, std::string(coordination::configuration_stream),
                                       {.host = "h0", .incarnation = 1});
    coordination::configuration_fold configuration;
    stream.add_observer(configuration);
    const host_clock time;
    coordination::leased_snapshot_writer snapshots(log, stream, time, std::chrono::hours(24));
    coordination::publish_configuration(stream, {.set = {{"zones/a", R"({"region":"r"})"}}, .removed = {}}, {});
    REQUIRE(snapshots.tick());
    platform::blocking_http_client client({.server = platform.get_endpoint()});
    client.exchange(boost::beast::http::verb::post, "/streams/configuration/trim",
                    fmt::format("{{\"before\":{}}}", stream.get_next_offset()));

    daemon::daemon restarted(daemon::parse_daemon_settings(
        fmt::format("[host]\nname = \"h1\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n"
                    "operators = \"127.0.0.1:0\"\n[platform]\nlog = \"{}\"\n[configuration]\npoll_ms = 10\n"
                    "[stop]\nnotice_ms = 0\n[log]\nlevel = \"error\"\n",
                    format_endpoint(platform.get_endpoint())),
        "test.toml"));
    restarted.start();
    while (!restarted.is_ready()) {
        std::this_thread::yield();
    }
    CHECK(restarted.is_ready());
}
