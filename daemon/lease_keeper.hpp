#pragma once

#include <memory>
#include <optional>

#include "coordination/store_lease.hpp"
#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"

namespace dragonflywell::daemon {

/// Acquires and renews the lease whose holder controls the fleet and reports usage. Used on one event loop.
class lease_keeper {
public:
    /// Preconditions: store and clock outlive the keeper.
    lease_keeper(platform::store_client& store, const clock_source& time, coordination::store_lease_options options);

    /// Acquires and renews the lease for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Releases the lease, so that another host need not wait until it expires.
    servers::asio::awaitable<void> resign();

    /// Returns the fencing number under which this host may act now, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> get_fencing_number() const { return m_lease.get_fencing_number(); }

    /// Returns whether this host holds the lease, even while it may not act yet.
    [[nodiscard]] bool is_held() const { return m_lease.is_held(); }

    /// Records that another host has announced that it holds the lease.
    void record_holder_heartbeat() { m_lease.record_holder_heartbeat(); }

    /// Records that the receiver of an order has seen a newer fencing number.
    void on_superseded();

private:
    servers::asio::awaitable<void> step(coordination::store_lease::action action);
    servers::asio::awaitable<void> read();
    servers::asio::awaitable<void> append();
    void report_change();

    platform::store_client* m_store;
    const clock_source* m_time;
    coordination::store_lease m_lease;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    bool m_was_held{false};
    bool m_is_busy{false};
};

} // namespace dragonflywell::daemon
