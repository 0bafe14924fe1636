#include "soak/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>

extern char** environ;

namespace dragonflywell::soak {

namespace {

/// File actions that redirect the standard output and error of a new process to a file.
class spawn_files {
public:
    explicit spawn_files(const std::string& output_path) {
        constexpr mode_t owner_writes = 0644;
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, output_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         owner_writes);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
    }
    spawn_files(const spawn_files&) = delete;
    spawn_files& operator=(const spawn_files&) = delete;
    spawn_files(spawn_files&&) = delete;
    spawn_files& operator=(spawn_files&&) = delete;
    ~spawn_files() { posix_spawn_file_actions_destroy(&m_actions); }

    [[nodiscard]] const posix_spawn_file_actions_t* get() const noexcept { return &m_actions; }

private:
    posix_spawn_file_actions_t m_actions{};
};

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& output_path) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& word : command) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const spawn_files files(output_path);
    const int fault = posix_spawn(&m_process, arguments[0], files.get(), nullptr, arguments.data(), environ);
    if (fault != 0) {
        throw std::system_error(fault, std::generic_category(), "cannot start " + command.front());
    }
}

child_process::~child_process() {
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, &m_status, 0);
    }
}

void child_process::send(int signal) {
    if (is_running()) {
        kill(m_process, signal);
    }
}

bool child_process::is_running() {
    if (m_process > 0 && waitpid(m_process, &m_status, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process > 0;
}

} // namespace dragonflywell::soak
