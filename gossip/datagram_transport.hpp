#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string_view>

namespace dragonflywell::gossip {

/// Sends datagrams to other hosts.
class datagram_transport {
public:
    datagram_transport() = default;
    datagram_transport(const datagram_transport&) = delete;
    datagram_transport& operator=(const datagram_transport&) = delete;
    datagram_transport(datagram_transport&&) = delete;
    datagram_transport& operator=(datagram_transport&&) = delete;
    virtual ~datagram_transport() = default;

    /// Sends a datagram, which may be lost. Returns whether it was accepted. Does not throw or block.
    virtual bool send(std::string_view text, const boost::asio::ip::udp::endpoint& receiver) = 0;
};

} // namespace dragonflywell::gossip
