#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace dragonflywell::servers {

/// Notices that a caller closes its connection while its request is being worked on. Used on the connection's context.
class caller_watch {
public:
    /// Precondition: `socket` outlives the watch, and nothing reads from it meanwhile.
    explicit caller_watch(boost::asio::ip::tcp::socket& socket);
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;
    caller_watch(caller_watch&&) = delete;
    caller_watch& operator=(caller_watch&&) = delete;
    ~caller_watch();

    [[nodiscard]] bool is_gone() const noexcept { return m_state->is_gone; }
    /// Notes that a write to the caller failed.
    void set_gone();
    /// Has `notify` called once when the caller leaves; an empty function ends that.
    void set_on_gone(std::function<void()> notify);

private:
    struct watch_state {
        bool is_active{true};
        bool is_gone{false};
        std::function<void()> notify;
    };

    static void tell(watch_state& state);

    boost::asio::ip::tcp::socket* m_socket;
    std::shared_ptr<watch_state> m_state;
};

} // namespace dragonflywell::servers
