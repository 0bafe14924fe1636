#include "servers/caller_disconnect_monitor.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace dragonflywell::servers {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Returns whether a readable socket is at the end of its stream and does not hold the next request of the caller.
bool is_at_end(tcp::socket& socket) {
    std::array<char, 1> byte{};
    error_code fault;
    const std::size_t received = socket.receive(boost::asio::buffer(byte), tcp::socket::message_peek, fault);
    return received == 0 && fault != boost::asio::error::would_block;
}

} // namespace

caller_disconnect_monitor::caller_disconnect_monitor(tcp::socket& socket)
    : m_socket(&socket), m_state(std::make_shared<watch_state>()) {
    m_socket->async_wait(tcp::socket::wait_read, [socket = m_socket, state = m_state](const error_code& fault) {
        if (!state->is_active || fault) {
            return;
        }
        if (is_at_end(*socket)) {
            notify_disconnect(*state);
        }
    });
}

caller_disconnect_monitor::~caller_disconnect_monitor() {
    m_state->is_active = false;
    m_state->notify = {};
    error_code ignored;
    m_socket->cancel(ignored);
}

void caller_disconnect_monitor::set_disconnected() {
    m_state->is_disconnected = true;
}

void caller_disconnect_monitor::set_on_disconnect(std::function<void()> notify) {
    m_state->notify = std::move(notify);
}

void caller_disconnect_monitor::notify_disconnect(watch_state& state) {
    state.is_disconnected = true;
    if (const std::function<void()> notify = std::exchange(state.notify, {})) {
        notify();
    }
}

} // namespace dragonflywell::servers
