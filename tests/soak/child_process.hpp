#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflywell::soak {

/// A child process of the soak test. Signals are sent to this process only. Not thread safe.
class child_process {
public:
    /// Starts the program and appends its standard output and error to a file. Throws `std::system_error`.
    child_process(const std::vector<std::string>& command, const std::string& output_path);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;
    /// Kills the process if it is still running.
    ~child_process();

    /// Sends a signal if the process is still running.
    void send(int signal);
    /// Returns whether the process is still running. Reaps it and stores its exit status once it has ended.
    [[nodiscard]] bool is_running();
    [[nodiscard]] pid_t get_id() const noexcept { return m_process; }
    /// Returns the exit status in the format of `waitpid`. Precondition: the process has ended.
    [[nodiscard]] int get_status() const noexcept { return m_status; }

private:
    pid_t m_process{-1};
    int m_status{0};
};

} // namespace dragonflywell::soak
