#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <unistd.h>

#include "core/endpoint.hpp"

namespace dragonflywell::testing {

/// Returns an address on which nothing listens at present. Each call returns another address. Listening ports are below
/// the ephemeral port range. An outgoing connection could otherwise take a free port before the daemon listens on it,
/// or while the daemon is down.
template <typename Protocol>
endpoint find_free_address(boost::asio::io_context& loop) {
    constexpr std::uint32_t first_port = 10000;
    constexpr std::uint32_t last_port = 32000;
    // Each process begins its search at other ports, because several tests may run at the same time.
    constexpr std::uint32_t ports_per_process = 64;
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * ports_per_process;
    for (;;) {
        const std::uint32_t port = first_port + next++ % (last_port - first_port);
        typename Protocol::socket socket(loop);
        const typename Protocol::endpoint address(boost::asio::ip::make_address("127.0.0.1"),
                                                  static_cast<std::uint16_t>(port));
        socket.open(address.protocol());
        boost::system::error_code taken;
        socket.bind(address, taken);
        if (!taken) {
            return {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(port)};
        }
    }
}

} // namespace dragonflywell::testing
