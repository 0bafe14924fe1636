#include "servers/caller_disconnect_monitor.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <utility>

namespace dragonflywell::servers {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// What a socket that was reported as readable holds.
enum class input_state : std::uint8_t {
    /// Nothing: the report was outdated.
    none,
    /// The next request of the caller.
    bytes,
    /// The end of the stream, or an error.
    end,
};

/// Looks at the input without taking it, and without waiting for it.
input_state peek_input(tcp::socket& socket) noexcept {
    std::array<char, 1> byte{};
    error_code fault;
    socket.non_blocking(true, fault);
    const std::size_t received = socket.receive(boost::asio::buffer(byte), tcp::socket::message_peek, fault);
    if (fault == boost::asio::error::would_block) {
        return input_state::none;
    }
    return received > 0 ? input_state::bytes : input_state::end;
}

} // namespace

caller_disconnect_monitor::caller_disconnect_monitor(tcp::socket& socket)
    : m_socket(&socket), m_state(std::make_shared<watch_state>()) {
    watch(socket, m_state);
}

void caller_disconnect_monitor::watch(tcp::socket& socket, std::shared_ptr<watch_state> state) {
    socket.async_wait(tcp::socket::wait_read, [&socket, state = std::move(state)](const error_code& fault) {
        if (!state->is_active || fault) {
            return;
        }
        switch (peek_input(socket)) {
        case input_state::none:
            watch(socket, state);
            break;
        case input_state::bytes:
            break;
        case input_state::end:
            notify_disconnect(*state);
            break;
        }
    });
}

caller_disconnect_monitor::~caller_disconnect_monitor() {
    m_state->is_active = false;
    m_state->notify = {};
    error_code ignored;
    m_socket->cancel(ignored);
}

bool caller_disconnect_monitor::is_disconnected() const noexcept {
    if (!m_state->is_disconnected) {
        m_state->is_disconnected = peek_input(*m_socket) == input_state::end;
    }
    return m_state->is_disconnected;
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
