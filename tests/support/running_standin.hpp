#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>

#include "servers/http_server.hpp"
#include "standin/fault_plan.hpp"

namespace dragonflywell::testing {

/// A stand-in that listens on a free port of this machine during its lifetime.
template <typename Handler>
class running_standin {
public:
    template <typename... Arguments>
    explicit running_standin(Arguments&&... arguments)
        : handler(std::forward<Arguments>(arguments)...), faults(handler),
          m_server({&m_context}, faults, {.listen = {.address = "127.0.0.1", .port = 0}}) {
        m_server.start();
        m_thread = std::thread([this] { m_context.run(); });
    }
    running_standin(const running_standin&) = delete;
    running_standin& operator=(const running_standin&) = delete;
    running_standin(running_standin&&) = delete;
    running_standin& operator=(running_standin&&) = delete;
    ~running_standin() {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] endpoint get_endpoint() const { return {.address = "127.0.0.1", .port = m_server.get_port()}; }

    /// Stops accepting connections.
    void stop_listening() { m_server.stop(); }

    Handler handler;
    standin::faulty_handler faults;

private:
    boost::asio::io_context m_context{1};
    servers::http_server m_server;
    std::thread m_thread;
};

} // namespace dragonflywell::testing
