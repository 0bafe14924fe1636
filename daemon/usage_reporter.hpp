#pragma once

#include <memory>
#include <optional>
#include <string>

#include "coordination/usage_state.hpp"
#include "core/log.hpp"
#include "daemon/lease_keeper.hpp"
#include "platform/cloud_client.hpp"
#include "platform/store_client.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Reports the usage of each window to the platform while this host holds the lease. Used on one event loop.
///
/// The figures of a window are written to the store as final before they are reported. Each window is therefore
/// reported with the same figures, whichever host reports it and however often.
class usage_reporter {
public:
    /// Preconditions: all references outlive the reporter.
    usage_reporter(platform::store_client& store, platform::cloud_client& cloud, lease_keeper& lease,
                   servers::serving_state& state, std::string host, duration due);

    /// Reports for as long as the event loop runs.
    servers::asio::awaitable<void> run();

private:
    servers::asio::awaitable<void> report_due();
    servers::asio::awaitable<void> read_report_state();
    /// Finalizes the figures of windows that are due. Returns false when another host has changed the report state in
    /// the store.
    servers::asio::awaitable<bool> finalize_due();
    servers::asio::awaitable<void> send_pending();
    /// Returns one record for each host incarnation, merged from its own record, copies by other hosts and its digests.
    [[nodiscard]] std::vector<coordination::usage_record> gather_records(const platform::store_page& page) const;
    [[nodiscard]] bool has_due() const;
    [[nodiscard]] coordination::usage_window_number get_newest_due() const;

    platform::store_client* m_store;
    platform::cloud_client* m_cloud;
    lease_keeper* m_lease;
    servers::serving_state* m_state;
    std::string m_host;
    /// Delay from the end of a window until its figures are finalized.
    duration m_finalize_delay;
    std::shared_ptr<spdlog::logger> m_log;
    /// The report state as stored, without reports that were sent since; absent until it is read under the current
    /// fencing number.
    std::optional<coordination::report_state> m_report_state;
    log_position m_report_state_end;
    std::optional<std::uint64_t> m_fence;
};

} // namespace dragonflywell::daemon
