#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::soak {

namespace asio = boost::asio;

/// What a link does with bytes.
enum class link_state : std::uint8_t {
    passes,
    /// Each piece arrives late.
    delays,
    /// Nothing arrives; what was sent arrives when the link is well again.
    silent,
    /// Requests arrive, answers don't until the link is well again.
    one_way,
    /// New connections are reset.
    resets,
};

/// A loopback proxy in front of one address, which can fail as a network does. Used on one event loop.
class fault_proxy {
public:
    fault_proxy(asio::io_context& loop, endpoint target);
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;
    ~fault_proxy();

    [[nodiscard]] endpoint get_endpoint() const { return m_endpoint; }
    /// Sends new connections to another address.
    void set_target(const endpoint& target) { m_state->target = target; }
    void set_state(link_state state) { m_state->link = state; }
    /// Resets all connections.
    void reset_connections();
    /// Lets all open connections go silent for good, without a reset; new ones are well.
    void forget_connections();

private:
    struct link {
        explicit link(asio::ip::tcp::socket caller, asio::ip::tcp::socket server)
            : near(std::move(caller)), far(std::move(server)) {}
        asio::ip::tcp::socket near;
        asio::ip::tcp::socket far;
        bool is_forgotten{false};
    };
    struct shared_state {
        endpoint target;
        link_state link{link_state::passes};
        std::list<std::weak_ptr<fault_proxy::link>> links;
    };

    static asio::awaitable<void> accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
                                        std::shared_ptr<shared_state> state);
    static asio::awaitable<void> connect(asio::ip::tcp::socket caller, std::shared_ptr<shared_state> state);
    static asio::awaitable<void> pump(std::shared_ptr<link> both, bool is_answer, std::shared_ptr<shared_state> state);

    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
    std::shared_ptr<shared_state> m_state;
    endpoint m_endpoint;
};

} // namespace dragonflywell::soak
