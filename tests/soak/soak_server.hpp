#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>

#include "soak/fault_proxy.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/soak_platform.hpp"
#include "standin/raw_server.hpp"

namespace dragonflywell::soak {

/// Ids of the requests whose prompts engines have prefilled, by KV cache handle. All engines share them, because one
/// engine may fetch the KV cache of another.
using prompt_handles = std::map<std::string, std::string>;

struct soak_server_options {
    std::string id;
    /// "app" or "llm".
    std::string service;
    std::string zone;
    /// Stage of an engine; empty for an instance of a plain service.
    std::string stage;
    /// Length of the billing windows.
    duration usage_window{};
};

/// A backend server behind a faulty link that records the requests that it runs. Not thread safe: it is used on one
/// event loop.
class soak_server {
public:
    /// Precondition: all references outlive the server.
    soak_server(asio::io_context& loop, soak_platform& platform, invariant_checker& checker, prompt_handles& prompts,
                std::mt19937_64& random, soak_server_options options);

    /// Starts the server, also after a crash, and adds it to the server list.
    void start();
    /// Stops the server and aborts its requests. Its entry stays in the server list.
    void crash();
    /// Announces in the server list that the server drains. It still serves requests.
    void drain();
    /// Removes the server from the server list.
    void leave();

    [[nodiscard]] bool is_running() const noexcept { return m_server != nullptr; }
    /// Returns the header with which a draining server says in its responses that it leaves.
    [[nodiscard]] std::string get_notice() const;
    [[nodiscard]] bool is_draining() const noexcept { return m_draining_since.has_value(); }

    fault_proxy link;
    /// Fraction of the requests that the server refuses, aborts, or follows with a response of another request.
    double fault_fraction{0};

private:
    void write_entry() const;
    asio::awaitable<void> respond(const servers::http_request& request, standin::raw_connection& connection);
    asio::awaitable<void> run(const servers::http_request& request, standin::raw_connection& connection);
    asio::awaitable<void> send_stream(const servers::http_request& request, duration interval,
                                      standin::raw_connection& connection);
    asio::awaitable<void> handle_order(const servers::http_request& request, standin::raw_connection& connection);
    void check_drained() const;
    [[nodiscard]] bool draw_bool(double share);
    [[nodiscard]] std::int64_t get_window() const;

    asio::io_context* m_loop;
    soak_platform* m_platform;
    invariant_checker* m_checker;
    prompt_handles* m_prompts;
    std::mt19937_64* m_random;
    soak_server_options m_options;
    std::unique_ptr<standin::raw_server> m_server;
    std::int64_t m_started_at_ms{0};
    std::uint64_t m_orders{0};
    std::uint64_t m_newest_fence{0};
    std::uint64_t m_handles{0};
    std::optional<steady_time> m_draining_since;
};

} // namespace dragonflywell::soak
