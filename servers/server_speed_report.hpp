#pragma once

#include <map>
#include <optional>
#include <spdlog/logger.h>

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// Keeps the estimates of server speeds current and reports them: gauges over all servers, and log lines when the
/// estimate of a server has changed, a bounded number at a time. Not thread safe.
class server_speed_report {
public:
    /// Preconditions: state and registry outlive the report.
    server_speed_report(serving_state& state, metrics_registry& metrics);

    /// Called twice a second.
    void run();

private:
    /// What was logged of a server.
    struct logged_estimate {
        double speed{1};
        double limit{1};
    };
    struct current_estimate {
        double speed{1};
        double limit{1};
        std::uint32_t in_flight{0};
    };

    /// Forgets what was learned if this host was frozen: its requests seem to have taken that long, and the rest is
    /// old.
    void forget_after_freeze();
    [[nodiscard]] std::optional<current_estimate> get_estimate(const backend_server_name& server,
                                                               const fleet::server_record& record);
    /// Returns whether a line was written.
    bool log_change(const backend_server_name& server, const current_estimate& estimate);

    serving_state* m_state;
    std::shared_ptr<spdlog::logger> m_log;
    gauge* m_slower;
    gauge* m_faster;
    gauge* m_limited;
    gauge* m_lowest_speed;
    gauge* m_lowest_limit;
    counter* m_changes;
    std::optional<steady_time> m_last_run_at;
    std::map<backend_server_name, logged_estimate> m_logged;
    /// Mean load at which this host has observed a server. At other loads, such as none at this moment, the estimate
    /// has less support.
    std::map<backend_server_name, double> m_usual_loads;
};

} // namespace dragonflywell::servers
