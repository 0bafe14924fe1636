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
/// Figures are fixed in the store before they are reported, so that each window is reported with one set of figures
/// whoever reports it and however often.
class usage_reporter {
public:
    /// Preconditions: all references outlive the reporter.
    usage_reporter(platform::store_client& store, platform::cloud_client& cloud, lease_keeper& lease,
                   servers::serving_state& state, std::string host, duration due);

    /// Reports for as long as the event loop runs.
    servers::asio::awaitable<void> run();

private:
    servers::asio::awaitable<void> report_due();
    servers::asio::awaitable<void> read_book();
    /// Fixes the figures of windows that are due. Returns whether the book in the store is the one known here.
    servers::asio::awaitable<bool> fix_due();
    servers::asio::awaitable<void> send_pending();
    /// Returns what each life of a host has counted, its own record, copies and what it told put together.
    [[nodiscard]] std::vector<coordination::usage_record> gather_records(const platform::store_page& page) const;
    [[nodiscard]] bool has_due() const;
    [[nodiscard]] coordination::usage_window_number get_newest_due() const;

    platform::store_client* m_store;
    platform::cloud_client* m_cloud;
    lease_keeper* m_lease;
    servers::serving_state* m_state;
    std::string m_host;
    /// How long after the end of a window its figures are fixed.
    duration m_fix_after;
    std::shared_ptr<spdlog::logger> m_log;
    /// The book as the store holds it; nothing until it was read under the present fence.
    std::optional<coordination::report_state> m_book;
    std::uint64_t m_book_end{0};
    std::optional<std::uint64_t> m_fence;
};

} // namespace dragonflywell::daemon
