#pragma once

#include <memory>
#include <optional>
#include <string>

#include "coordination/report_history.hpp"
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
/// reported with the same figures, whichever host reports it and however often. Where the final figures may have been
/// lost, because the store returned from an older copy, the window is not reported again.
class usage_reporter {
public:
    /// Preconditions: all references outlive the reporter.
    usage_reporter(platform::store_client& store, platform::cloud_client& cloud, lease_keeper& lease,
                   servers::serving_state& state, metrics_registry& metrics, std::string host, duration due);

    /// Reports for as long as the event loop runs.
    servers::asio::awaitable<void> run();

private:
    servers::asio::awaitable<void> report_due();
    /// Reads the report state, and in a new era stores what replaces it. Returns false when another host has changed it
    /// in the store.
    servers::asio::awaitable<bool> read_report_state();
    /// Stores what replaces a state of an earlier era.
    servers::asio::awaitable<bool> recover_report_state(const coordination::report_state& stored);
    /// Stores a state if the topic still ends where it was read, and makes it the current one.
    servers::asio::awaitable<bool> store_report_state(coordination::report_state next);
    /// Finalizes the figures of windows that are due. Returns false when another host has changed the report state in
    /// the store.
    servers::asio::awaitable<bool> finalize_due();
    servers::asio::awaitable<void> send_pending();
    /// Returns one record for each host incarnation, merged from its own record, copies by other hosts and its digests.
    [[nodiscard]] std::vector<coordination::usage_record> gather_records(const platform::store_page& page) const;
    [[nodiscard]] bool has_due() const;
    [[nodiscard]] coordination::usage_window_number get_newest_due(wall_time now) const;

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
    /// When this host first read the report state in the current era, if it knew an earlier one.
    std::optional<steady_time> m_era_known_since;
    std::optional<std::uint64_t> m_fence;
    /// What this host knows of final figures, over changes of the holder and of the era.
    coordination::report_history m_history;
    counter* m_skipped_windows;
};

} // namespace dragonflywell::daemon
