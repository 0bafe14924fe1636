#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace dragonflywell::servers {

/// Notices that a caller closes its connection while its request is being worked on. Used on the connection's context.
class caller_disconnect_monitor {
public:
    /// Precondition: `socket` outlives the watch, and nothing reads from it meanwhile.
    explicit caller_disconnect_monitor(boost::asio::ip::tcp::socket& socket);
    caller_disconnect_monitor(const caller_disconnect_monitor&) = delete;
    caller_disconnect_monitor& operator=(const caller_disconnect_monitor&) = delete;
    caller_disconnect_monitor(caller_disconnect_monitor&&) = delete;
    caller_disconnect_monitor& operator=(caller_disconnect_monitor&&) = delete;
    ~caller_disconnect_monitor();

    [[nodiscard]] bool is_disconnected() const noexcept { return m_state->is_disconnected; }
    /// Notes that a write to the caller failed.
    void set_disconnected();
    /// Has `notify` called once when the caller leaves; an empty function ends that.
    void set_on_disconnect(std::function<void()> notify);

private:
    struct watch_state {
        bool is_active{true};
        bool is_disconnected{false};
        std::function<void()> notify;
    };

    static void tell(watch_state& state);

    boost::asio::ip::tcp::socket* m_socket;
    std::shared_ptr<watch_state> m_state;
};

} // namespace dragonflywell::servers
