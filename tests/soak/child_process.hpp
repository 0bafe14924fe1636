#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflywell::soak {

/// A program that the soak has started, and that it alone signals and ends. Not thread safe.
class child_process {
public:
    /// Starts the program with its standard output and error appended to a file. Throws `std::system_error`.
    child_process(const std::vector<std::string>& command, const std::string& output_path);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;
    /// Kills the program if it still runs.
    ~child_process();

    /// Sends a signal if the program still runs.
    void send(int signal);
    /// Returns whether the program still runs; takes its exit status when it has ended.
    [[nodiscard]] bool is_running();
    /// Returns how the program ended, as `waitpid` tells it. Precondition: it does not run any more.
    [[nodiscard]] int get_status() const noexcept { return m_status; }

private:
    pid_t m_process{-1};
    int m_status{0};
};

} // namespace dragonflywell::soak
