#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "core/log.hpp"
#include "core/metrics.hpp"
#include "daemon/control_task.hpp"

namespace dragonflywell::daemon {

/// Runs one control task until it is stopped. Thread safety: `start` and `stop` from one thread.
class control_thread {
public:
    /// Precondition: `metrics` outlives the thread.
    control_thread(std::unique_ptr<control_task> task, metrics_registry& metrics);
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    control_thread(control_thread&&) = delete;
    control_thread& operator=(control_thread&&) = delete;
    ~control_thread();

    void start();

    /// Waits for the current round, calls `finish` of the task and joins the thread. Idempotent.
    void stop();

private:
    void run();
    template <typename Action>
    void run_guarded(Action action);
    [[nodiscard]] bool wait_for_next_round();

    std::unique_ptr<control_task> m_task;
    counter* m_failures;
    std::shared_ptr<spdlog::logger> m_log;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_is_stopping{false};
    std::thread m_thread;
};

} // namespace dragonflywell::daemon
