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
    /// Path of the daemon program.
    std::string daemon;
    /// Folder for settings and logs.
    std::string folder;
};

/// Demonstrates the system on the platform with real daemons in two availability zones and stand-ins for everything
/// else. It prints each step and its result. Not thread safe.
class platform_demo {
public:
    platform_demo(platform_demo_options options, std::ostream& out);

    /// Runs all steps. Returns whether all expectations were met. Throws `std::system_error` when a daemon cannot be
    /// started.
    bool run();

private:
    /// Response that a caller received.
    struct test_response {
        unsigned status{0};
        std::string body;
    };
    struct test_request {
        std::string route;
        soak::request_kind kind{};
        std::string key;
    };

    soak::asio::awaitable<void> run_steps();
    soak::asio::awaitable<void> start();
    soak::asio::awaitable<void> show_requests();
    soak::asio::awaitable<void> show_refused_key();
    soak::asio::awaitable<void> show_revoked_key();
    soak::asio::awaitable<void> show_drained_server();
    soak::asio::awaitable<void> show_killed_host();
    soak::asio::awaitable<void> show_usage();
    soak::asio::awaitable<void> stop();

    soak::asio::awaitable<test_response> send_request(soak::soak_host& host, test_request wanted);
    /// Sends requests of one kind to a host sequentially and returns how many were served.
    soak::asio::awaitable<int> send_requests(soak::soak_host& host, test_request wanted, int count);
    soak::asio::awaitable<bool> is_ready(soak::soak_host& host);
    soak::asio::awaitable<void> wait_until_ready(soak::soak_host& host);
    void add_server(const std::string& service, const std::string& zone, const std::string& stage);
    void print_step(const std::string& line);
    void expect(bool holds, const std::string& what);

    platform_demo_options m_options;
    std::ostream* m_out;
    soak::asio::io_context m_loop{1};
    host_clock m_time;
    std::mt19937_64 m_random{1};
    soak::invariant_checker m_checker;
    soak::soak_platform m_platform;
    soak::prompt_handles m_prompts;
    std::vector<std::unique_ptr<soak::soak_server>> m_servers;
    std::vector<std::unique_ptr<soak::soak_host>> m_hosts;
    std::map<std::string, std::set<std::string>> m_keys;
    int m_number{0};
    bool m_is_successful{true};
};

} // namespace dragonflywell::demo
