#include "servers/log_writer.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace dragonflywell::servers {

namespace {

/// Lines of one interval are written together, because each write costs a system call.
constexpr duration write_interval = std::chrono::milliseconds(500);
constexpr std::size_t batch_bytes = 32 * 1024;

/// Makes writes to a pipe non-blocking. Writes to a regular file are left as they are.
void set_nonblocking(int descriptor) {
    struct stat status {};
    if (fstat(descriptor, &status) != 0 || S_ISREG(status.st_mode)) {
        return;
    }
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, static_cast<unsigned>(flags) | static_cast<unsigned>(O_NONBLOCK));
    }
}

} // namespace

log_writer::log_writer(const asio::any_io_executor& executor, std::shared_ptr<log_buffer> buffer)
    : m_timer(executor), m_buffer(std::move(buffer)) {
    set_nonblocking(STDOUT_FILENO);
}

log_writer::~log_writer() {
    write_pending();
}

void log_writer::start() {
    write_pending();
    schedule_write();
}

void log_writer::schedule_write() {
    m_timer.expires_after(write_interval);
    m_timer.async_wait([this](const error_code& fault) {
        if (!fault) {
            start();
        }
    });
}

void log_writer::write_pending() {
    while (!m_unwritten.empty() || !m_buffer->is_empty()) {
        if (m_unwritten.empty()) {
            m_unwritten = m_buffer->take(batch_bytes);
        }
        const ssize_t written = ::write(STDOUT_FILENO, m_unwritten.data(), m_unwritten.size());
        if (written <= 0) {
            // The reader of the pipe is not reading; the buffer keeps filling and drops the least important lines.
            return;
        }
        m_unwritten.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace dragonflywell::servers
