// Machines whose platform ends a process that exceeds `memoryMb`, and starts it again after a short delay.
#pragma once

#include "world.hh"

namespace world {

class machine {
public:
    machine(daemon_options options, record_file& record)
        : m_memory_kb(options.memory_mb * 1024L), m_record(&record), m_daemon(std::move(options)) {}

    bool start() {
        m_daemon.start();
        if (!m_daemon.wait_until_ready()) {
            return false;
        }
        m_record->add(m_daemon.get_name() + " is ready with " + std::to_string(m_daemon.get_memory_kb().first) + " kB");
        return true;
    }

    /// Looks at the process once: kills it if it exceeds its memory, and starts it again if it has ended.
    void watch() {
        if (!m_daemon.is_running()) {
            ++m_ends;
            m_record->add("BROKEN: " + m_daemon.get_name() + " ended by itself, wait status " +
                          std::to_string(m_daemon.get_status()));
            restart();
            return;
        }
        const long memory = m_daemon.get_memory_kb().first;
        m_peak_kb = std::max(m_peak_kb, memory);
        if (steady::now() >= m_next_line_at) {
            m_next_line_at = steady::now() + std::chrono::seconds(1);
            m_record->add(m_daemon.get_name() + " holds " + std::to_string(memory) + " kB");
        }
        if (memory > m_memory_kb) {
            ++m_ends;
            m_record->add("BROKEN: " + m_daemon.get_name() + " holds " + std::to_string(memory) + " kB of " +
                          std::to_string(m_memory_kb) + " kB and is killed by the platform");
            m_daemon.kill();
            restart();
        }
    }

    [[nodiscard]] const daemon_process& get() const { return m_daemon; }
    [[nodiscard]] int get_ends() const { return m_ends; }
    [[nodiscard]] long get_peak_kb() const { return m_peak_kb; }
    void stop() { m_daemon.kill(); }

private:
    void restart() {
        sleep_ms(500);
        m_daemon.start();
    }

    long m_memory_kb;
    record_file* m_record;
    daemon_process m_daemon;
    int m_ends{0};
    long m_peak_kb{0};
    steady::time_point m_next_line_at{};
};

/// Counts of answers by status; 0 stands for a connection that ended without one.
class answer_counts {
public:
    void add(int status) {
        const std::scoped_lock lock(m_mutex);
        ++m_counts[status];
    }

    std::string get_text() {
        const std::scoped_lock lock(m_mutex);
        std::string text;
        for (const auto& [status, count] : m_counts) {
            text += (text.empty() ? "" : ", ") + (status == 0 ? std::string("none") : std::to_string(status)) + " " +
                    std::to_string(count) + " times";
        }
        return text;
    }

private:
    std::mutex m_mutex;
    std::map<int, int> m_counts;
};

/// The rule on faults: processes end by themselves three times on two machines.
constexpr int ends_of_a_fault = 3;

/// Watches both machines until the rule is broken or the time is over. Returns whether it was broken.
inline bool watch_machines(machine& first, machine& second, int seconds) {
    const auto end = steady::now() + std::chrono::seconds(seconds);
    while (steady::now() < end) {
        first.watch();
        second.watch();
        if (first.get_ends() >= ends_of_a_fault && second.get_ends() >= ends_of_a_fault) {
            return true;
        }
        sleep_ms(20);
    }
    return false;
}

} // namespace world
