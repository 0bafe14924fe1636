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

/// Prompts that engines have read, shared by all of them since one may fetch another's.
using prompt_handles = std::map<std::string, std::string>;

struct soak_server_options {
    std::string id;
    /// "app" or "llm".
    std::string service;
    std::string zone;
    /// Stage of an engine; empty for an instance.
    std::string stage;
    /// Length of the billing windows.
    duration usage_window{};
};

/// A backend server behind a link that can fail, which notes what it runs. Used on one event loop.
class soak_server {
public:
    /// Preconditions: loop, platform, evidence and prompts outlive the server.
    soak_server(asio::io_context& loop, soak_platform& platform, invariant_checker& seen, prompt_handles& prompts,
                std::mt19937_64& random, soak_server_options options);

    /// Starts the server, or starts it anew after a crash; it enters the list.
    void start();
    /// Ends it at once, with all that runs; it stays in the list for a while.
    void crash();
    /// Says that it leaves. It goes on serving.
    void drain();
    /// Leaves the list.
    void leave();

    [[nodiscard]] bool is_running() const noexcept { return m_server != nullptr; }
    [[nodiscard]] bool is_draining() const noexcept { return m_draining_since.has_value(); }

    fault_proxy link;
    /// Share of the requests that it treats badly: refuses, breaks off, answers with another's id.
    double bad_share{0};

private:
    void write_entry() const;
    asio::awaitable<void> answer(const servers::http_request& request, standin::raw_connection& connection);
    asio::awaitable<void> run(const servers::http_request& request, standin::raw_connection& connection);
    asio::awaitable<void> send_stream(const std::string& id, int first, standin::raw_connection& connection);
    asio::awaitable<void> take_order(const servers::http_request& request, standin::raw_connection& connection);
    void check_drained() const;
    [[nodiscard]] bool draws(double share);
    [[nodiscard]] std::int64_t get_window() const;

    asio::io_context* m_loop;
    soak_platform* m_platform;
    invariant_checker* m_seen;
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
