#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/log_buffer.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Writes the lines of a ring to standard output, a batch at a time, whenever that takes bytes without blocking.
/// Not thread safe: lives on one event loop.
class log_writer {
public:
    log_writer(const asio::any_io_executor& executor, std::shared_ptr<log_buffer> ring);
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
    log_writer(log_writer&&) = delete;
    log_writer& operator=(log_writer&&) = delete;
    /// Writes what standard output still takes.
    ~log_writer();

    /// Starts to write from time to time.
    void start();

private:
    void wait();
    void write_pending();

    asio::steady_timer m_timer;
    std::shared_ptr<log_buffer> m_ring;
    std::string m_unwritten;
};

} // namespace dragonflywell::servers
