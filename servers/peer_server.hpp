#pragma once

#include <cstdint>
#include <memory>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "servers/peer_handler.hpp"

namespace dragonflywell::servers {

/// The address for peers cannot be listened on.
class peer_listen_error : public error {
public:
    using error::error;
};

/// Listens for other daemons and passes their calls to a handler, with bounded threads and memory.
///
/// Thread safety: construction, `stop` and destruction from one thread.
class peer_server {
public:
    /// Starts to listen; port 0 takes a free one. Throws `peer_listen_error`. Precondition: `handler` outlives it.
    peer_server(const endpoint& listen, peer_handler& handler);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    peer_server(peer_server&&) = delete;
    peer_server& operator=(peer_server&&) = delete;
    ~peer_server();

    /// Refuses new calls and waits for the running ones, up to a second. Idempotent.
    void stop();

    [[nodiscard]] std::uint16_t get_port() const noexcept;

private:
    // Keeps the headers of gRPC out of those who include this one.
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace dragonflywell::servers
