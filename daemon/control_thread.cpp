#include "daemon/control_thread.hpp"

namespace dragonflywell::daemon {

control_thread::control_thread(std::unique_ptr<control_task> task, metrics_registry& metrics)
    : m_task(std::move(task)),
      m_failures(&metrics.get_counter("dragonflywell_control_failures_total", {{"task", m_task->get_name()}})),
      m_log(get_logger(m_task->get_name())) {}

control_thread::~control_thread() {
    stop();
}

void control_thread::start() {
    m_thread = std::thread([this] { run(); });
}

void control_thread::stop() {
    {
        const std::scoped_lock lock(m_mutex);
        m_is_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void control_thread::run() {
    do {
        run_guarded([this] { m_task->run_round(); });
    } while (wait_for_next_round());
    run_guarded([this] { m_task->finish(); });
}

template <typename Action>
void control_thread::run_guarded(Action action) {
    try {
        action();
    } catch (const std::exception& fault) {
        m_failures->add();
        m_log->warn("Control task round failed: {}.", fault.what());
    }
}

bool control_thread::wait_for_next_round() {
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, m_task->get_interval(), [this] { return m_is_stopping; });
    return !m_is_stopping;
}

} // namespace dragonflywell::daemon
