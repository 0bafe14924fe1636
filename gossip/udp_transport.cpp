#include "gossip/udp_transport.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

namespace dragonflywell::gossip {

bool udp_transport::send(std::string_view text, const boost::asio::ip::udp::endpoint& receiver) {
    boost::system::error_code fault;
    m_socket->send_to(boost::asio::buffer(text), receiver, 0, fault);
    return !fault;
}

} // namespace dragonflywell::gossip
