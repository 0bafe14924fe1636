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

/// What all callers go by.
struct soak_caller_context {
    invariant_checker* seen{};
    std::mt19937_64* random{};
    std::vector<std::unique_ptr<soak_host>>* hosts{};
    /// When a key was taken out of the configuration.
    std::map<std::string, steady_time>* revoked_at{};
    /// Whether only planned work is under way; a request that is cut off then is a broken promise.
    std::function<bool()> is_planned_only;
    bool is_over{false};
};

struct soak_caller_options {
    std::string name;
    std::string organisation;
    std::string key;
    /// Time between two requests, on average.
    duration pace{std::chrono::milliseconds(40)};
};

/// A caller that keeps its connection until the process at the other end is gone, and checks what it gets. Used on one
/// event loop.
class soak_caller {
public:
    soak_caller(soak_caller_context& world, soak_caller_options options)
        : m_world(&world), m_options(std::move(options)) {}

    /// Sends requests until the world is over.
    asio::awaitable<void> run();

private:
    /// What came back for one request.
    struct answer {
        bool is_connected{false};
        bool is_whole{false};
        bool has_time_run_out{false};
        bool closes{false};
        unsigned status{0};
        std::string seal;
        std::string body;
    };

    asio::awaitable<bool> connect();
    asio::awaitable<answer> ask(const std::string& id, request_kind kind);
    void check(const std::string& id, request_kind kind, const answer& got, steady_time sent_at);
    void check_success(const std::string& id, request_kind kind, const answer& got, steady_time sent_at);
    void check_cut(const std::string& id, const answer& got);
    [[nodiscard]] soak_host* choose_host() const;

    soak_caller_context* m_world;
    soak_caller_options m_options;
    std::shared_ptr<asio::ip::tcp::socket> m_socket;
    soak_host* m_host{nullptr};
    int m_host_life{0};
    int m_number{0};
};

} // namespace dragonflywell::soak
