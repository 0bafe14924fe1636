#pragma once

#include <memory>
#include <string>

#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "daemon/store_era_subscription.hpp"
#include "platform/store_client.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Writes the usage counts of this host to the store after the end of each window, unless the group leader has done so.
/// Used on one event loop.
class usage_recorder final : public platform::store_era_listener {
public:
    /// Preconditions: store and state outlive the recorder. `incarnation` differs for each run of the process.
    usage_recorder(platform::store_client& store, servers::serving_state& state, const std::string& host,
                   std::uint64_t incarnation);

    /// Records for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Records the counts up to now, before the process ends. Logs a failure and does not throw.
    servers::asio::awaitable<void> record_last();

    /// Lets all retained windows be recorded again, since the store may have lost them.
    void on_era_changed(std::uint64_t era) override;

private:
    servers::asio::awaitable<void> record(std::int64_t closed);
    /// Returns whether a request was counted in a window up to `closed` that is not recorded yet.
    [[nodiscard]] bool has_counts(std::int64_t closed) const;
    [[nodiscard]] std::int64_t get_current_window() const;
    /// Returns how long the window has been over and the store has been in its era.
    [[nodiscard]] duration get_time_to_record(std::int64_t closed) const;

    platform::store_client* m_store;
    servers::serving_state* m_state;
    std::string m_key;
    /// The newest window that is known to be recorded.
    std::int64_t m_recorded;
    /// Era of the store in which it is recorded, and when this host learned of that era.
    std::uint64_t m_era;
    steady_time m_era_known_since;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    store_era_subscription m_subscription;
};

} // namespace dragonflywell::daemon
