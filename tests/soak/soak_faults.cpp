#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "servers/sleep.hpp"
#include "soak/soak_run.hpp"

namespace dragonflywell::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration poll_interval = milliseconds(250);
/// Callers that send long requests late in a stop, from `late_begin` after the signal on.
constexpr int late_callers_per_stop = 8;
constexpr duration late_begin = milliseconds(3050);
constexpr duration late_interval = milliseconds(100);
constexpr int late_steps = 9;
/// A draining server still serves requests for this long.
constexpr duration drain_time = milliseconds(2600);

} // namespace

asio::awaitable<void> soak_run::remove_server(soak_server& server, duration stays) {
    co_await servers::sleep_for(stays);
    server.leave();
    server.crash();
    co_await servers::sleep_for(seconds(1));
    server.start();
}

asio::awaitable<void> soak_run::call_late(soak_host& host) {
    // Nothing is drawn here, so that the faults of a seed stay as they are.
    const int number = m_late_callers++;
    const duration delay = late_begin + number % late_steps * late_interval;
    soak_caller caller(m_context, {.name = fmt::format("late{}", number), .organisation = "org0", .key = "key0"});
    co_await caller.run_late(host, delay, number % 2 == 0);
}

asio::awaitable<void> soak_run::stop_host(soak_host& host) {
    constexpr duration grace = seconds(8);
    for (int number = 0; number < late_callers_per_stop; ++number) {
        asio::co_spawn(m_loop, call_late(host), asio::detached);
    }
    host.terminate();
    const steady_time last = m_time.now() + grace;
    while (host.is_running() && m_time.now() < last) {
        co_await servers::sleep_for(poll_interval);
    }
    if (host.is_running() && m_checker.is_settled(grace)) {
        m_checker.add_violation(fmt::format("{} is still running at the end of its grace period", host.get_name()));
    }
    host.kill();
    co_await servers::sleep_for(poll_interval);
    host.start();
}

std::vector<soak_run::fault> soak_run::make_faults() {
    const auto hold = [this](duration least, duration most) { return servers::sleep_for(draw_length(least, most)); };
    const auto store = [this, hold](store_state state) -> asio::awaitable<void> {
        m_platform.store.state = state;
        co_await hold(seconds(1), seconds(5));
        m_platform.store.state = store_state::healthy;
    };
    const auto link = [hold](fault_proxy& proxy, link_state state) -> asio::awaitable<void> {
        proxy.set_state(state);
        co_await hold(seconds(1), seconds(4));
        proxy.set_state(link_state::passes);
    };
    const auto draw_link_state = [this] {
        return static_cast<link_state>(std::uniform_int_distribution<int>(1, 4)(m_random));
    };
    return {
        {"host killed", false,
         [this, hold]() -> asio::awaitable<void> {
             soak_host& host = draw_host();
             host.kill();
             co_await hold(milliseconds(300), seconds(3));
             host.start();
         }},
        {"all hosts killed", false,
         [this, hold]() -> asio::awaitable<void> {
             for (const auto& host : m_hosts) {
                 host->kill();
             }
             co_await hold(milliseconds(300), seconds(1));
             for (const auto& host : m_hosts) {
                 host->start();
             }
         }},
        {"host suspended", false,
         [this, hold]() -> asio::awaitable<void> {
             soak_host& host = draw_host();
             host.suspend();
             co_await hold(milliseconds(500), seconds(5));
             host.resume();
         }},
        {"host stopped", true, [this] { return stop_host(draw_host()); }},
        {"settings reloaded", true,
         [this]() -> asio::awaitable<void> {
             draw_host().reload();
             co_return;
         }},
        {"configurations published", true,
         [this, hold]() -> asio::awaitable<void> {
             for (int change = 0; change < 3; ++change) {
                 publish();
                 co_await hold(milliseconds(50), milliseconds(600));
             }
         }},
        {"key revoked", true,
         [this]() -> asio::awaitable<void> {
             revoke_key();
             co_return;
         }},
        {"server drained", true,
         [this]() -> asio::awaitable<void> {
             soak_server& server = draw_server();
             if (server.is_running() && !server.is_draining()) {
                 server.drain();
                 co_await remove_server(server, drain_time + seconds(1));
             }
         }},
        {"server crashed", false,
         [this, hold]() -> asio::awaitable<void> {
             soak_server& server = draw_server();
             server.crash();
             co_await hold(milliseconds(300), seconds(4));
             if (!server.is_running()) {
                 server.start();
             }
         }},
        {"server misbehaves", false,
         [this, hold]() -> asio::awaitable<void> {
             constexpr double share = 0.4;
             soak_server& server = draw_server();
             server.fault_fraction = share;
             co_await hold(seconds(2), seconds(5));
             server.fault_fraction = 0;
         }},
        {"server's link fails", false,
         [this, link, draw_link_state] { return link(draw_server().link, draw_link_state()); }},
        {"server's connections reset", false,
         [this]() -> asio::awaitable<void> {
             draw_server().link.reset_connections();
             co_return;
         }},
        {"server's connections blackholed", false,
         [this]() -> asio::awaitable<void> {
             draw_server().link.blackhole_connections();
             co_return;
         }},
        {"store's link fails", false,
         [this, link, draw_link_state] { return link(draw_host().store_link, draw_link_state()); }},
        {"store's connections blackholed", false,
         [this]() -> asio::awaitable<void> {
             draw_host().store_link.blackhole_connections();
             co_return;
         }},
        {"reports' link fails", false,
         [this, link, draw_link_state] { return link(draw_host().reports_link, draw_link_state()); }},
        {"store busy", false, [store] { return store(store_state::busy); }},
        {"store unresponsive", false, [store] { return store(store_state::unresponsive); }},
        {"store slow", false, [store] { return store(store_state::slow); }},
        {"store loses responses", false, [store] { return store(store_state::loses_responses); }},
        {"store drops history", false,
         [this]() -> asio::awaitable<void> {
             for (const char* topic : {"keyed.op", "keyed.servers", "keyed.dw-lease", "keyed.dw-hosts"}) {
                 m_platform.store.inner.drop_history(topic);
             }
             co_return;
         }},
        {"reports refused", false,
         [this, hold]() -> asio::awaitable<void> {
             m_platform.reports.is_unavailable = true;
             co_await hold(seconds(1), seconds(4));
             m_platform.reports.is_unavailable = false;
         }},
    };
}

} // namespace dragonflywell::soak
