#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::soak {

namespace asio = boost::asio;

/// State of a network link.
enum class link_state : std::uint8_t {
    passes,
    /// All data is delayed.
    delays,
    /// No data is delivered until the link recovers.
    unresponsive,
    /// Requests are delivered, but no responses until the link recovers.
    one_way,
    /// New connections are reset.
    resets,
};

/// A loopback proxy in front of one address that simulates network faults. Not thread safe: it is used on one event
/// loop.
class fault_proxy {
public:
    fault_proxy(asio::io_context& loop, endpoint target);
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;
    ~fault_proxy();

    [[nodiscard]] endpoint get_endpoint() const { return m_endpoint; }
    /// Forwards new connections to another address.
    void set_target(const endpoint& target) { m_state->target = target; }
    void set_state(link_state state) { m_state->link = state; }
    /// Resets all connections.
    void reset_connections();
    /// Drops the data of all open connections from now on without closing them, like a firewall that has lost its
    /// state. New connections work.
    void blackhole_connections();

private:
    struct link {
        explicit link(asio::ip::tcp::socket caller, asio::ip::tcp::socket server)
            : caller_socket(std::move(caller)), server_socket(std::move(server)) {}
        asio::ip::tcp::socket caller_socket;
        asio::ip::tcp::socket server_socket;
        bool is_blackholed{false};
    };
    struct shared_state {
        endpoint target;
        link_state link{link_state::passes};
        std::list<std::weak_ptr<fault_proxy::link>> links;
    };

    static asio::awaitable<void> accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
                                        std::shared_ptr<shared_state> state);
    static asio::awaitable<void> connect(asio::ip::tcp::socket caller, std::shared_ptr<shared_state> state);
    static asio::awaitable<void> forward(std::shared_ptr<link> both, bool is_response,
                                         std::shared_ptr<shared_state> state);

    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
    std::shared_ptr<shared_state> m_state;
    endpoint m_endpoint;
};

} // namespace dragonflywell::soak
