#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/log_buffer.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Writes the lines of a log buffer to standard output in batches, as far as that does not block. Not thread safe; used
/// on one event loop.
class log_writer {
public:
    log_writer(const asio::any_io_executor& executor, std::shared_ptr<log_buffer> buffer);
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
    log_writer(log_writer&&) = delete;
    log_writer& operator=(log_writer&&) = delete;
    /// Writes the remaining lines as far as standard output accepts them without blocking.
    ~log_writer();

    /// Starts to write periodically.
    void start();

private:
    void schedule_write();
    void write_pending();

    asio::steady_timer m_timer;
    std::shared_ptr<log_buffer> m_buffer;
    std::string m_unwritten;
};

} // namespace dragonflywell::servers
