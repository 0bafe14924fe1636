#pragma once

#include <iosfwd>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/invariant_checker.hpp"
#include "soak/soak_host.hpp"
#include "soak/soak_platform.hpp"
#include "soak/soak_server.hpp"

namespace dragonflywell::demo {

struct platform_demo_options {
    /// The daemon's program.
    std::string daemon;
    /// Where settings and logs go.
    std::string folder;
};

/// Plays the main job on the users' platform with real daemons in two availability zones, in front of stand-ins, and
/// tells what happens step by step. Not thread safe.
class platform_demo {
public:
    platform_demo(platform_demo_options options, std::ostream& out);

    /// Plays all steps. Returns whether each went as told. Throws `std::system_error` when a daemon cannot be started.
    bool run();

private:
    /// What a caller got.
    struct answer {
        unsigned status{0};
        std::string body;
    };
    struct question {
        std::string route;
        soak::request_kind kind{};
        std::string key;
    };

    soak::asio::awaitable<void> play();
    soak::asio::awaitable<void> start();
    soak::asio::awaitable<void> show_requests();
    soak::asio::awaitable<void> show_refused_key();
    soak::asio::awaitable<void> show_revoked_key();
    soak::asio::awaitable<void> show_drained_server();
    soak::asio::awaitable<void> show_killed_host();
    soak::asio::awaitable<void> show_usage();
    soak::asio::awaitable<void> stop();

    soak::asio::awaitable<answer> ask(soak::soak_host& host, question wanted);
    /// Sends requests of one kind to a host, one after the other; returns how many were served.
    soak::asio::awaitable<int> ask_many(soak::soak_host& host, question wanted, int count);
    soak::asio::awaitable<bool> is_ready(soak::soak_host& host);
    soak::asio::awaitable<void> wait_until_ready(soak::soak_host& host);
    void add_server(const std::string& service, const std::string& zone, const std::string& stage);
    void tell(const std::string& line);
    void expect(bool holds, const std::string& what);

    platform_demo_options m_options;
    std::ostream* m_out;
    soak::asio::io_context m_loop{1};
    host_clock m_time;
    std::mt19937_64 m_random{1};
    soak::invariant_checker m_seen;
    soak::soak_platform m_platform;
    soak::prompt_handles m_prompts;
    std::vector<std::unique_ptr<soak::soak_server>> m_servers;
    std::vector<std::unique_ptr<soak::soak_host>> m_hosts;
    std::map<std::string, std::set<std::string>> m_keys;
    int m_number{0};
    bool m_holds{true};
};

} // namespace dragonflywell::demo
