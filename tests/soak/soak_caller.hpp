#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak/invariant_checker.hpp"
#include "soak/soak_host.hpp"

namespace dragonflywell::soak {

/// State that all callers share.
struct soak_caller_context {
    invariant_checker* checker{};
    std::mt19937_64* random{};
    std::vector<std::unique_ptr<soak_host>>* hosts{};
    /// Times at which keys were removed from the configuration.
    std::map<std::string, steady_time>* revoked_at{};
    /// Returns whether only planned operations are in progress. A response that is cut off meanwhile is a violation.
    std::function<bool()> is_planned_only;
    bool is_over{false};
};

struct soak_caller_options {
    std::string name;
    std::string organisation;
    std::string key;
    /// Average time between two requests.
    duration request_interval{std::chrono::milliseconds(40)};
};

/// A caller that sends requests over a persistent connection to one host and checks the responses. Not thread safe: it
/// is used on one event loop.
class soak_caller {
public:
    soak_caller(soak_caller_context& world, soak_caller_options options)
        : m_context(&world), m_options(std::move(options)) {}

    /// Sends requests until the run is over.
    asio::awaitable<void> run();
    /// Sends a short request to the host, and after the delay a stream that is longer than the rest of the host's grace
    /// period, on the same connection or on a new one.
    asio::awaitable<void> run_late(soak_host& host, duration delay, bool is_new_connection);

private:
    /// Response to one request, as far as it was received.
    struct response {
        bool is_connected{false};
        bool is_whole{false};
        bool is_timed_out{false};
        bool closes{false};
        unsigned status{0};
        std::string seal;
        std::string body;
    };

    asio::awaitable<bool> connect();
    asio::awaitable<bool> connect_to(soak_host& host);
    asio::awaitable<response> send_checked(request_kind kind, bool is_owed);
    asio::awaitable<response> send_request(const std::string& id, request_kind kind);
    void check(const std::string& id, request_kind kind, const response& received, steady_time sent_at);
    void check_success(const std::string& id, request_kind kind, const response& received, steady_time sent_at);
    void check_cut(const std::string& id, const response& received);
    [[nodiscard]] soak_host* choose_host() const;

    soak_caller_context* m_context;
    soak_caller_options m_options;
    std::shared_ptr<asio::ip::tcp::socket> m_socket;
    soak_host* m_host{nullptr};
    int m_host_start_count{0};
    int m_number{0};
};

} // namespace dragonflywell::soak
