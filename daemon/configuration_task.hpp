#pragma once

#include <memory>
#include <optional>

#include "coordination/configuration.hpp"
#include "coordination/leased_snapshot_writer.hpp"
#include "core/log.hpp"
#include "daemon/control_task.hpp"
#include "daemon/control_task_context.hpp"
#include "platform/http_log.hpp"

namespace dragonflywell::daemon {

/// Follows the configuration stream and puts each valid version in force. Versions only increase.
///
/// One of the daemons writes the stream's snapshots, so that a host that starts after the log has dropped its oldest
/// records still finds the configuration.
class configuration_task final : public control_task {
public:
    explicit configuration_task(const control_task_context& context);

    void run_round() override;
    void finish() override;
    [[nodiscard]] const char* get_name() const noexcept override { return "configuration"; }
    [[nodiscard]] duration get_interval() const noexcept override { return m_context.settings.configuration_poll; }

private:
    void follow();
    void write_snapshots();
    void update_cut_off();
    void apply_configuration(const std::shared_ptr<const coordination::configuration>& current);

    control_task_context m_context;
    platform::http_log m_platform_log;
    coordination::folded_stream m_stream;
    coordination::configuration_fold m_fold;
    coordination::leased_snapshot_writer m_snapshots;
    counter* m_rejected;
    counter* m_written;
    gauge* m_version;
    counter* m_direct_reads;
    /// The newest version that was tried, and the version in force.
    std::optional<coordination::log_offset> m_tried;
    std::optional<coordination::log_offset> m_in_force;
    /// When this daemon last read the stream successfully.
    std::optional<steady_time> m_followed_at;
    std::shared_ptr<spdlog::logger> m_log;
};

} // namespace dragonflywell::daemon
