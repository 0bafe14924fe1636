#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>
#include <cstdint>

#include "core/endpoint.hpp"
#include "support/port_range.hpp"

namespace dragonflywell::testing {

/// The ports of both ranges are below the ephemeral port range.
inline constexpr std::uint32_t first_free_port = 10000;
inline constexpr std::uint32_t first_listener_port = 20000;
inline constexpr std::uint32_t listener_port_end = 32000;

/// Returns an address on which nothing listens at present. Each call returns another address. An outgoing connection
/// could take an ephemeral port before the daemon listens on it, or while the daemon is down; listeners of other tests
/// could, too, so that they have a range of their own.
template <typename Protocol>
endpoint find_free_address(boost::asio::io_context& loop) {
    static port_range ports(first_free_port, first_listener_port);
    for (;;) {
        const std::uint16_t port = ports.take_next();
        typename Protocol::socket socket(loop);
        const typename Protocol::endpoint address(boost::asio::ip::make_address("127.0.0.1"), port);
        socket.open(address.protocol());
        boost::system::error_code taken;
        socket.bind(address, taken);
        if (!taken) {
            return {.address = "127.0.0.1", .port = port};
        }
    }
}

/// Returns a listener on a port below the ephemeral range. The kernel chooses no ephemeral port for a listener while
/// one connection to it is in TIME_WAIT, so that tests with thousands of listeners would take them all for a minute.
inline boost::asio::ip::tcp::acceptor listen_on_free_port(boost::asio::io_context& loop) {
    using boost::asio::ip::tcp;
    static port_range ports(first_listener_port, listener_port_end);
    for (;;) {
        const tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), ports.take_next());
        tcp::acceptor listener(loop, address.protocol());
        listener.set_option(boost::asio::socket_base::reuse_address(true));
        boost::system::error_code taken;
        listener.bind(address, taken);
        if (!taken) {
            listener.listen(boost::asio::socket_base::max_listen_connections, taken);
        }
        if (!taken) {
            return listener;
        }
        if (taken != boost::asio::error::address_in_use) {
            throw boost::system::system_error(taken, "listen on a free port");
        }
    }
}

} // namespace dragonflywell::testing
