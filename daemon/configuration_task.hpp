#pragma once

#include <memory>
#include <optional>

#include "coordination/configuration.hpp"
#include "coordination/fan_out_log.hpp"
#include "coordination/snapshot_keeper.hpp"
#include "core/log.hpp"
#include "daemon/control_task.hpp"
#include "daemon/daemon_parts.hpp"
#include "daemon/peer_hub.hpp"
#include "platform/http_log.hpp"

namespace dragonflywell::daemon {

/// Follows the configuration stream and puts each valid version in force. Versions only grow.
///
/// One of the daemons that read the log themselves writes the stream's snapshots, so that a host that starts after the
/// log has forgotten the oldest records still finds the configuration.
class configuration_task final : public control_task {
public:
    /// `peers` is null when the daemon keeps to itself.
    configuration_task(const daemon_parts& parts, std::shared_ptr<peer_hub> peers);

    void run_round() override;
    void finish() override;
    [[nodiscard]] const char* get_name() const noexcept override { return "configuration"; }
    [[nodiscard]] duration get_interval() const noexcept override { return m_parts.settings.configuration_poll; }

private:
    [[nodiscard]] coordination::append_log& get_log();
    void follow();
    void adopt_from_peers();
    void keep_snapshots();
    void judge_cut_off();
    void put_in_force(const std::shared_ptr<const coordination::configuration>& current);

    daemon_parts m_parts;
    std::shared_ptr<peer_hub> m_peers;
    platform::http_log m_platform_log;
    std::optional<coordination::fan_out_log> m_fan_out;
    coordination::folded_stream m_stream;
    coordination::configuration_fold m_fold;
    coordination::snapshot_keeper m_snapshots;
    counter* m_rejected;
    counter* m_written;
    gauge* m_version;
    counter* m_direct_reads;
    std::uint64_t m_counted_reads{0};
    /// Newest version of the own fold that was tried, and the version in force.
    std::optional<coordination::log_offset> m_tried;
    std::optional<coordination::log_offset> m_in_force;
    /// When this daemon itself followed the stream last.
    std::optional<wall_time> m_followed_at;
    std::shared_ptr<spdlog::logger> m_log;
};

} // namespace dragonflywell::daemon
