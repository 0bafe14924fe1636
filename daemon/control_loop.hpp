#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "coordination/configuration.hpp"
#include "coordination/usage.hpp"
#include "core/log.hpp"
#include "core/metrics.hpp"
#include "core/snapshot_cell.hpp"
#include "servers/entry_context.hpp"

namespace dragonflywell::daemon {

struct control_loop_options {
    duration configuration_poll{};
    duration usage_flush{};
    coordination::writer_id self;
};

/// The control thread of a daemon: follows the configuration and writes usage to the log.
///
/// Thread safety: `start` and `stop` from one thread.
class control_loop {
public:
    /// Preconditions: all references outlive the loop. `log` is used by the control thread only.
    control_loop(coordination::append_log& log, const clock_source& time, control_loop_options options,
                 snapshot_cell<servers::active_manifest>& manifest, coordination::usage_meter& usage,
                 metrics_registry& metrics);
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    control_loop(control_loop&&) = delete;
    control_loop& operator=(control_loop&&) = delete;
    ~control_loop();

    void start();

    /// Ends the thread after one last attempt to write the usage. Idempotent.
    void stop();

private:
    void run();
    void follow_configuration();
    void flush_usage();
    [[nodiscard]] bool wait_for_next_round();

    const clock_source* m_time;
    control_loop_options m_options;
    snapshot_cell<servers::active_manifest>* m_manifest;
    coordination::usage_meter* m_usage;
    coordination::folded_stream m_configuration_stream;
    coordination::folded_stream m_usage_stream;
    coordination::configuration_fold m_configuration;
    counter* m_log_failures;
    counter* m_rejected_configurations;
    gauge* m_version;
    std::shared_ptr<spdlog::logger> m_log;
    steady_time m_flushed_at{};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_is_stopping{false};
    std::thread m_thread;
};

} // namespace dragonflywell::daemon
