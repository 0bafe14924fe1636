#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.hpp"

namespace dragonflywell::testing {

/// What one caller of a crowd sends: a beginning, and then a piece many times. It reads nothing.
struct crowd_load {
    std::string beginning;
    std::string piece;
    std::size_t pieces{0};
};

/// Many callers that send the same and keep their connections open until the crowd is destroyed. Not thread safe.
class caller_crowd {
public:
    caller_crowd() = default;
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;
    caller_crowd(caller_crowd&&) = delete;
    caller_crowd& operator=(caller_crowd&&) = delete;
    ~caller_crowd() = default;

    /// Connects that many further callers. Returns when each has sent all, or has been disconnected, or when nothing
    /// has been sent for a while because the daemon reads no further.
    void send(const endpoint& address, std::size_t callers, const crowd_load& load);

private:
    boost::asio::io_context m_loop{1};
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> m_callers;
};

} // namespace dragonflywell::testing
