#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace dragonflywell::servers {

/// Detects that a caller closes its connection while its request is in progress. Used on the event loop of the
/// connection.
class caller_disconnect_monitor {
public:
    /// Precondition: `socket` outlives this object, and nothing else reads from it during that time.
    explicit caller_disconnect_monitor(boost::asio::ip::tcp::socket& socket);
    caller_disconnect_monitor(const caller_disconnect_monitor&) = delete;
    caller_disconnect_monitor& operator=(const caller_disconnect_monitor&) = delete;
    caller_disconnect_monitor(caller_disconnect_monitor&&) = delete;
    caller_disconnect_monitor& operator=(caller_disconnect_monitor&&) = delete;
    ~caller_disconnect_monitor();

    /// Returns whether the caller has disconnected. Looks at the socket, because on a busy event loop the notification
    /// may be queued behind much other work.
    [[nodiscard]] bool is_disconnected() const noexcept;
    /// Marks the caller as disconnected after a failed write.
    void set_disconnected();
    /// Sets a function that is called once when the caller disconnects; an empty function removes it.
    void set_on_disconnect(std::function<void()> notify);

private:
    struct watch_state {
        bool is_active{true};
        bool is_disconnected{false};
        std::function<void()> notify;
    };

    /// Waits until the socket is readable and then looks whether its stream has ended.
    static void watch(boost::asio::ip::tcp::socket& socket, std::shared_ptr<watch_state> state);
    static void notify_disconnect(watch_state& state);

    boost::asio::ip::tcp::socket* m_socket;
    std::shared_ptr<watch_state> m_state;
};

} // namespace dragonflywell::servers
