#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/metrics.hpp"
#include "policy/caller_limiter.hpp"
#include "servers/http_handler.hpp"

namespace dragonflywell::servers {

/// Limits on the size of requests and on the time that callers take.
struct caller_limits {
    std::uint32_t header_limit_bytes{16 * 1024};
    std::uint64_t body_limit_bytes{8ULL * 1024 * 1024};
    /// How long a caller may take to send a header, and to read a piece of the response. A body has at least this time.
    duration io_timeout{std::chrono::seconds(60)};
    /// How long a connection may wait for its next request.
    duration idle_timeout{std::chrono::seconds(60)};
};

struct http_server_options {
    endpoint listen;
    caller_limits limits;
    /// What all callers of one context may hold together.
    policy::caller_limiter_options limiter{};
    /// Receives the counters of the limits; null for none. Outlives the server.
    metrics_registry* metrics{nullptr};
};

/// Listens for HTTP/1.1 connections with keep-alive and passes each request to a handler.
///
/// Connections are assigned to the contexts in round-robin order. Each context is run by one thread, so that a
/// connection and its requests need no lock. Thread safety: `start` and `stop` are called from one thread.
class http_server {
public:
    /// Preconditions: `contexts` is not empty; contexts and handler outlive the server and its connections.
    http_server(const std::vector<asio::io_context*>& contexts, http_handler& handler, http_server_options options);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /// Binds and starts to accept. Throws `boost::system::system_error` when the address cannot be bound.
    void start();

    /// Sets new limits for all further reads. Must be called on the event loop of the only context, or before `start`.
    void set_limits(const caller_limits& limits);

    /// Adds "Connection: close" to all further responses. Still accepts connections.
    void disable_keep_alive();

    /// Stops accepting, closes idle connections, and closes each other connection after its current response.
    void stop();

    /// Returns the bound port, which differs from the settings when they have port 0.
    [[nodiscard]] std::uint16_t get_port() const;
    /// Returns how many requests are being received or answered.
    [[nodiscard]] std::int64_t get_active_requests() const noexcept;
    /// Returns how many connections are open.
    [[nodiscard]] std::int64_t get_open_connections() const noexcept;

private:
    struct shared_state;

    std::shared_ptr<shared_state> m_state;
};

} // namespace dragonflywell::servers
