#pragma once

#include "gossip/datagram_transport.hpp"

namespace dragonflywell::gossip {

/// Sends datagrams through a socket. Used on one event loop.
class udp_transport final : public datagram_transport {
public:
    /// Preconditions: the socket outlives the transport and is non-blocking.
    explicit udp_transport(boost::asio::ip::udp::socket& socket) noexcept : m_socket(&socket) {}

    bool send(std::string_view text, const boost::asio::ip::udp::endpoint& receiver) override;

private:
    boost::asio::ip::udp::socket* m_socket;
};

} // namespace dragonflywell::gossip
