#pragma once

#include <memory>
#include <string>

#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Writes the usage counts of this host to the store after the end of each window, unless the group leader has done so.
/// Used on one event loop.
class usage_recorder {
public:
    /// Preconditions: store and state outlive the recorder. `incarnation` differs for each run of the process.
    usage_recorder(platform::store_client& store, servers::serving_state& state, const std::string& host,
                   std::uint64_t incarnation);

    /// Records for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Records the counts up to now, before the process ends. Logs a failure and does not throw.
    servers::asio::awaitable<void> record_last();

private:
    servers::asio::awaitable<void> record(std::int64_t closed);
    [[nodiscard]] std::int64_t get_current_window() const;

    platform::store_client* m_store;
    servers::serving_state* m_state;
    std::string m_key;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
};

} // namespace dragonflywell::daemon
