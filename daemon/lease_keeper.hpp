#pragma once

#include <memory>
#include <optional>

#include "coordination/store_lease.hpp"
#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "daemon/store_era_subscription.hpp"
#include "platform/cloud_client.hpp"
#include "platform/store_client.hpp"

namespace dragonflywell::daemon {

/// Acquires and renews the lease whose holder controls the fleet and reports usage. Used on one event loop.
class lease_keeper final : public platform::store_era_listener {
public:
    /// Preconditions: store and clock outlive the keeper.
    lease_keeper(platform::store_client& store, const clock_source& time, coordination::store_lease_options options);
    /// Acquires and renews the lease for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Releases the lease, so that another host need not wait until it expires.
    servers::asio::awaitable<void> resign();

    /// Returns the fencing number under which this host may act now, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> get_fencing_number() const { return m_lease.get_fencing_number(); }

    /// Returns the credentials for calls under a fencing number. A call is not sent any more once this host may not act
    /// under that number. Precondition: the keeper outlives the calls.
    [[nodiscard]] platform::duty_credentials make_credentials(std::string holder, std::uint64_t fence) const;

    /// Returns whether this host holds the lease, even while it may not act yet.
    [[nodiscard]] bool is_held() const { return m_lease.is_held(); }

    /// Returns the number of this host's uninterrupted holding of the lease, or nothing; see `store_lease::get_term`.
    [[nodiscard]] std::optional<std::uint64_t> get_term() const { return m_lease.get_term(); }

    /// The lease is acquired anew in the new era.
    void on_era_changed(std::uint64_t era) override { m_lease.on_era_changed(era); }

    /// Sets whether this host leaves a vacant lease to others for a while.
    void set_reserve(bool is_reserve) noexcept { m_lease.set_reserve(is_reserve); }

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
    /// The holding of the lease that was last reported in the log.
    std::optional<std::uint64_t> m_reported_term;
    std::uint64_t m_reported_era{0};
    store_era_subscription m_subscription;
    bool m_is_busy{false};
};

} // namespace dragonflywell::daemon
